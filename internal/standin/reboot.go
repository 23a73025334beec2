package standin

import "time"

// reboot takes a server down for the configured reboot time. Its running requests are aborted.
func (st *Standin) reboot(instance string) {
	b := st.servers[instance]
	if b == nil {
		return
	}
	b.shutdown()
	st.log.Info("rebooting", "server", instance)
	time.AfterFunc(st.settings.RebootTime.Std(), b.boot)
}

func (b *backendServer) shutdown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down != nil {
		close(b.down)
		b.down = nil
	}
}

// boot starts a new incarnation, which has no assignment epoch and is not leaving.
func (b *backendServer) boot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation.Store(uint64(time.Now().UnixMilli()))
	b.epoch.Store(0)
	b.leaving.Store(false)
	b.down = make(chan struct{})
}

// downChannel returns a channel that is closed when the server goes down, or nil while it is down.
func (b *backendServer) downChannel() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down == nil {
		return nil
	}
	return b.down
}
