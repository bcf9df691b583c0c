// Command gentiantrailctl is the operators' command-line tool; see docs/OPERATORS.md.
package main

import (
	"os"

	"github.com/gentiantrail/gentiantrail/internal/ctl"
)

func main() {
	os.Exit(int(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)))
}
