// Command standin plays the clients, servers and platform of the scripts in review/ against the project's own programs. Its
// argument is the name of a scenario; the record goes into the folder that the second argument names.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var scenarios = map[string]func(*world) (broken bool, err error){
	"many-ends": manyEnds, "foreign-heartbeat": foreignHeartbeat, "sick-gang": gangOnSickMinion, "gang-crash": gangAfterCrash, "one-crash": oneCrash,
	"removed-route": removedRoute,
}

// world is what a scenario runs in.
type world struct {
	rec      *record
	history  *history
	gangs    *gangs
	platform *platform
	cluster  *cluster
	// trouble is unset if the scenario is to run without its disruption.
	trouble bool
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin SCENARIO FOLDER")
		return exitNotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitNotRun
	}
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun
	}
	w := &world{rec: rec, history: newHistory(), gangs: newGangs(), trouble: os.Getenv("TROUBLE") != "0"}
	rec.say("scenario %s, trouble %v, %s/%s", os.Args[1], w.trouble, runtime.GOOS, runtime.GOARCH)
	if w.platform, err = startPlatform(); err == nil {
		w.cluster, err = startCluster(rec, root, 3, 2, w.platform.address)
	}
	if w.cluster != nil {
		defer w.cluster.stop()
	}
	if err != nil {
		rec.say("can't run: %v", err)
		return exitNotRun
	}
	broken, err := scenarios[os.Args[1]](w)
	switch {
	case err != nil:
		rec.say("can't run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule is broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
