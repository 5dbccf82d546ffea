// Command ebonywood is the proxy, its operators' tools and its stand-ins in one
// binary.
package main

import (
	"os"

	"github.com/ebonywood/ebonywood/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
