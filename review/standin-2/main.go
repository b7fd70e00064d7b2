// Command standin-2 plays the cases of the second review: it starts the gateway and
// engines as processes, and is the platform's store, the operator and the consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the time after which a case gives up.
const maxLength = 110 * time.Second

// errBroken means that the rule of a case was broken.
type errBroken struct{ what string }

func (ebr errBroken) Error() string { return ebr.what }

var cases = map[string]func(*installation) error{
	"truncated": playTruncated,
	"successor": playSuccessor,
	"parts":     playParts,
	"restored":  playRestored,
	"silent":    playSilent,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "engine:", err)
			os.Exit(2)
		}
		return
	}
	os.Exit(play())
}

// play returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE GATEWAY RECORD")
		return 2
	}
	inst, err := newInstallation(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer inst.close()
	switch err := inst.run(cases[os.Args[1]]).(type) {
	case nil:
		inst.logf("the rule held")
		fmt.Println("the rule held")
		return 0
	case errBroken:
		inst.logf("BROKEN: %v", err)
		fmt.Println("broken:", err)
		return 1
	default:
		inst.logf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	}
}

// run plays a case until it ends, its time is over or a signal ends it.
func (inst *installation) run(play func(*installation) error) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- play(inst) }()
	select {
	case err := <-done:
		return err
	case sig := <-stop:
		return fmt.Errorf("ended by %v", sig)
	case <-time.After(maxLength):
		return fmt.Errorf("not done after %v", maxLength)
	}
}
