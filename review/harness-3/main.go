// Command review-3 plays the scripted cases of the third review. Its argument is the name of
// a case, ROOT the repository, RECORD the path of the record. With TROUBLE=0 the
// disruption is left out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit is the longest time that a case may take. The hosts end with this process.
const limit = 115 * time.Second

// play is a case and the sizes of its deployment.
type play struct {
	tenants, connections int
	run                  func(i *Installation, trouble bool) (broken int, err error)
}

// The sizes are those of the sheets of loom-ledger, 16 connections, and sargabusz-ho, 32.
var cases = map[string]play{
	"config":   {8, 16, playWithdrawnKey},
	"replaced": {3, 32, playReplacedPrimary},
	"fence":    {8, 16, playLowerToken},
	"joined":   {3, 32, playNewHost},
	"quota":    {8, 16, playLostShare},
	"primary":  {8, 16, playNoPrimary},
	"ids":      {8, 16, playLongIDs},
	"ahead":    {8, 16, playSentAhead},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]].run == nil {
		fmt.Println("want the name of a case")
		return 2
	}
	time.AfterFunc(limit, func() {
		fmt.Println("the case takes too long")
		os.Exit(2)
	})
	record, err := NewRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	c := cases[os.Args[1]]
	installation, err := NewInstallation(record, c.tenants, c.connections)
	if err != nil {
		record.Event("%v", err)
		return 2
	}
	defer installation.Stop()
	if err := installation.StartHosts(); err != nil {
		record.Event("%v", err)
		return 2
	}
	broken, err := c.run(installation, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Event("%v", err)
		return 2
	case broken > 0:
		record.Event("rule BROKEN %d times", broken)
		return 1
	default:
		record.Event("rule held")
		return 0
	}
}
