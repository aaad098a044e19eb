// Command stand runs stand-ins of the platform and of executors, for tests and for trying out the entry daemon.
package main

import (
	"os"

	"waxwing.example/croft/stubs"
)

func main() { os.Exit(stubs.Main(os.Args[1:], os.Stdout, os.Stderr)) }
