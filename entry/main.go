// Command entry is the daemon of an entry VM.
package main

import (
	"os"

	"waxwing.example/croft/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
