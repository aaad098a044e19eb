// Command wax is the command line with which operators control entries.
package main

import (
	"os"

	"waxwing.example/croft/demo"
	"waxwing.example/croft/platform"
	"waxwing.example/croft/verbs"
)

func main() {
	dependencies := verbs.Dependencies{
		Demo: demo.Run, Generator: verbs.Questionnaire{},
		Queues: verbs.QueueDecoder{Config: platform.DecodeStrict, Job: platform.DecodeJob},
	}
	os.Exit(verbs.Main(dependencies, os.Args[1:], os.Stdout, os.Stderr))
}
