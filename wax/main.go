// Command wax is the operators' command line.
package main

import (
	"os"

	"waxwing.example/croft/verbs"
)

func main() { os.Exit(verbs.Main(verbs.Programs{}, os.Args[1:], os.Stdout, os.Stderr)) }
