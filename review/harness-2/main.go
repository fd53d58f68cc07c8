// Command harness-2 runs the cases of the second review that cannot be put as days: it
// starts an emulated deployment and entry hosts as separate processes on loopback, and
// disturbs the paths between them. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases returns whether the rule held.
var cases = map[string]func(r *record, trouble bool) (held bool, err error){
	"late-promotion": latePromotion,
	"restarted-host": restartedHost,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, start: time.Now()}
	held, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case !held:
		r.printf("result: the rule was broken")
		os.Exit(1)
	}
	r.printf("result: the rule held")
}
