// Command wax is the operators' command line.
package main

import (
	"os"

	"waxwing.example/croft/demo"
	"waxwing.example/croft/verbs"
)

func main() {
	programs := verbs.Programs{Demo: demo.Run, Planner: verbs.Questionnaire{}}
	os.Exit(verbs.Main(programs, os.Args[1:], os.Stdout, os.Stderr))
}
