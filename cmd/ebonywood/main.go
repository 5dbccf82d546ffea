// Command ebonywood contains the proxy, the operators' tools and the stand-ins for
// tests in one binary.
package main

import (
	"os"

	"github.com/ebonywood/ebonywood/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
