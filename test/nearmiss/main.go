// Command nearmiss reads logs of control instances, of a play each, and prints how near each play came to more tasks of a lasting step
// away at once than it may miss:
//
//	go run ./test/nearmiss LOG...
//
// Lines may have anything before the level. A task counts as away from the logged end of its run until the line that says that it
// works again.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// play collects the figures of one log.
type play struct {
	away    map[string]bool // tasks that ended and don't work again yet
	lasting map[string]bool // jobs with lasting tasks
	placed  map[string]int  // by job: the most tasks that one line places on one server
	ended   map[string]int  // by time, server and step: tasks that a lapse ended
	// lapsed counts lasting tasks that lapsed on servers which answer; gone those whose servers were given up.
	lapsed, gone int
	// stops counts the stops within a budget by how many others of the step were away; oldest is the oldest report that one rested on.
	stops  map[int]int
	oldest time.Duration
	// term is the highest seen. What a former leader logs about the ends of runs has no effect.
	term int
}

var (
	message = regexp.MustCompile(`laburnum-control\.dispatch: ([^:]+): (.*)$`)
	field   = regexp.MustCompile(`([a-z_]+)=("[^"]*"|\[[^\]]*\]|\S+)`)
	report  = regexp.MustCompile(`oldest report ([0-9.a-zµ]+)`)
)

func main() {
	for _, name := range os.Args[1:] {
		p := newPlay()
		if err := p.readFile(name); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(strings.TrimSuffix(filepath.Base(name), ".log"), p)
	}
}

func newPlay() *play {
	return &play{
		away: make(map[string]bool), lasting: make(map[string]bool), placed: make(map[string]int), ended: make(map[string]int), stops: make(map[int]int),
	}
}

func (p *play) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return p.read(f)
}

func (p *play) read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if m := message.FindStringSubmatch(lines.Text()); m != nil {
			fields := make(map[string]string)
			for _, kv := range field.FindAllStringSubmatch(m[2], -1) {
				fields[kv[1]] = strings.Trim(kv[2], `"`)
			}
			p.add(m[1], fields)
		}
	}
	return lines.Err()
}

// add processes one log line.
func (p *play) add(text string, f map[string]string) {
	term, _ := strconv.Atoi(f["term"])
	if term < p.term {
		return
	}
	p.term = term
	task := f["task"]
	job, _, _ := strings.Cut(task, ".")
	switch text {
	case "lasting task works":
		p.lasting[job] = true
		delete(p.away, task)
	case "tasks placed":
		on := make(map[string]int)
		for _, server := range strings.Split(strings.Trim(f["servers"], "[]"), ", ") {
			on[server]++
			p.placed[f["job"]] = max(p.placed[f["job"]], on[server])
		}
	case "lease lapsed on a server that answers":
		if f["lasting"] == "true" {
			p.lapsed++
			p.ended[f["server"]+stepOf(task)]++
		}
		p.away[task] = true
	case "run lapsed":
		if p.lasting[job] {
			p.gone++
		}
		p.away[task] = true
	case "run is lost", "run failed":
		p.away[task] = true
	case "run is stopped":
		p.addStop(task, f)
	}
}

// addStop counts a stop within the budget of a step, and notes that its task is away.
func (p *play) addStop(task string, f map[string]string) {
	if f["reason"] == "its machine has upkeep" || f["reason"] == "its data centre is evacuated" {
		others := 0
		for other := range p.away {
			if other != task && stepOf(other) == stepOf(task) {
				others++
			}
		}
		p.stops[others]++
		if m := report.FindStringSubmatch(f["others"]); m != nil {
			age, _ := time.ParseDuration(m[1])
			p.oldest = max(p.oldest, age)
		}
	}
	p.away[task] = true
}

// stepOf returns the name of a task's step.
func stepOf(task string) string { return task[:max(0, strings.LastIndex(task, "."))] }

// String returns the figures of a play in one line.
func (p *play) String() string {
	together := make(map[int]int)
	for job, n := range p.placed {
		if p.lasting[job] {
			together[n]++
		}
	}
	most := 0
	for _, n := range p.ended {
		most = max(most, n)
	}
	return fmt.Sprintf("lapsed=%d most_of_a_step=%d gone=%d steps_by_most_on_one_server=%v stops_by_others_away=%v oldest_report=%s",
		p.lapsed, most, p.gone, together, p.stops, strconv.FormatFloat(p.oldest.Seconds(), 'f', 2, 64))
}
