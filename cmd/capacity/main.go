// Command capacity measures the cost slopes from which docs/CAPACITY.md is derived,
// and plots them.
package main

import (
	"fmt"
	"os"

	"github.com/auburnyoke/auburnyoke/internal/capacity"
	"github.com/auburnyoke/auburnyoke/internal/cli"
)

type options struct {
	Pictures string `long:"pictures" default:"docs/capacity" description:"directory for the pictures"`
}

func main() {
	var o options
	cli.Main("capacity", &o, func() error { return run(o) })
}

func run(o options) error {
	if err := os.MkdirAll(o.Pictures, 0o755); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	fmt.Println("| slope | unit | line | largest residual |\n| --- | --- | --- | --- |")
	for _, measure := range capacity.All() {
		slopes, err := measure()
		if err != nil {
			return fmt.Errorf("measure: %w", err)
		}
		for _, slope := range slopes {
			fmt.Println(slope.String())
			if err := slope.Draw(o.Pictures); err != nil {
				return err
			}
		}
	}
	return nil
}
