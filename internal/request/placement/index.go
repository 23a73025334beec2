package placement

const (
	// bucketCPU is the width of a byCPU bucket, in thousandths of a processor (millicores).
	bucketCPU   = 1000
	bucketCount = 257
	// maxExamined limits how many unsuitable workers each of the two passes of a search examines: upwards from the tightest
	// fit, then downwards from the emptiest worker. The next search starts at another offset within each bucket, so
	// that a search that found nothing isn't repeated on the same workers.
	maxExamined = 64
)

// indexKind is the resource by which an index sorts workers into buckets.
type indexKind int

const (
	byCPU indexKind = iota
	byAccelerators
	indexKinds // number of kinds
)

// indexPosition is the position of a worker in an index.
type indexPosition struct {
	bucket int // -1 if the worker isn't in the index
	offset int
}

// index holds the open workers of a pool in buckets by one free resource, so that a search examines only a few of them.
type index struct {
	kind     indexKind
	buckets  [bucketCount][]*worker
	rotation int // offset at which the current search starts within a bucket; each search increases it
}

func (x *index) bucketOf(free Size) int {
	n := free.MilliCPU / bucketCPU
	if x.kind == byAccelerators {
		n = free.Accelerators
	}
	return int(min(max(n, 0), bucketCount-1))
}

func (x *index) add(w *worker) {
	b := x.bucketOf(w.free())
	w.positions[x.kind] = indexPosition{bucket: b, offset: len(x.buckets[b])}
	x.buckets[b] = append(x.buckets[b], w)
}

func (x *index) remove(w *worker) {
	at := w.positions[x.kind]
	if at.bucket < 0 {
		return
	}
	b := x.buckets[at.bucket]
	last := b[len(b)-1]
	b[at.offset] = last
	last.positions[x.kind].offset = at.offset
	x.buckets[at.bucket] = b[:len(b)-1]
	w.positions[x.kind].bucket = -1
}

// update moves a worker to the bucket that matches its free resources.
func (x *index) update(w *worker) {
	if w.positions[x.kind].bucket != x.bucketOf(w.free()) {
		x.remove(w)
		x.add(w)
	}
}

// bestFit returns a worker that has room for size and that avoid doesn't reject, or nil if the search finds none. It
// tries buckets from the least free capacity upwards, and after maxExamined workers from the most free downwards.
func (x *index) bestFit(size Size, avoid func(*worker) bool) *worker {
	x.rotation++
	first := x.bucketOf(size)
	examined := 0
	for b := first; b < bucketCount && examined < maxExamined; b++ {
		if w := x.searchBucket(b, size, avoid, &examined); w != nil {
			return w
		}
	}
	examined = 0
	for b := bucketCount - 1; b >= first && examined < maxExamined; b-- {
		if w := x.searchBucket(b, size, avoid, &examined); w != nil {
			return w
		}
	}
	return nil
}

// searchBucket searches one bucket, starting at an offset that changes with each search.
func (x *index) searchBucket(b int, size Size, avoid func(*worker) bool, examined *int) *worker {
	workers := x.buckets[b]
	for i := range workers {
		if *examined >= maxExamined {
			return nil
		}
		w := workers[(i+x.rotation)%len(workers)]
		if size.fitsIn(w.free()) && !avoid(w) {
			return w
		}
		*examined++
	}
	return nil
}
