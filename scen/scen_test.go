package scen

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"waxwing.example/croft/daemon"
	"waxwing.example/croft/stubs"
	"waxwing.example/croft/verbs"
)

// The second octets of the loopback networks of scenarios; each scenario has its own.
const (
	firstNet = 100
	lastNet  = 250
)

// atOnce is the most scenarios that run at the same time: each has about a dozen processes.
const atOnce = 4

// running holds a place for each scenario that runs.
var running = make(chan struct{}, atOnce)

var (
	reserving sync.Mutex
	// reserved keeps the listeners that stand for networks.
	reserved []net.Listener
)

// reserveNet takes a loopback network that no other scenario of this machine uses, by a
// listener that stands for it until this process ends: what a scenario started may outlive
// it for a moment, so that none takes a network over.
func reserveNet() (network string, err error) {
	reserving.Lock()
	defer reserving.Unlock()
	for n := firstNet; n <= lastNet; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:7999", n))
		if err == nil {
			reserved = append(reserved, l)
			return fmt.Sprintf("127.%d", n), nil
		}
	}
	return "", errors.New("all loopback networks of scenarios are taken")
}

// programs are what scenarios may start as processes of their own.
var programs = map[string]func(){
	"entry":    exits(daemon.Main),
	"stand":    exits(stubs.Main),
	"wax":      exits(waxMain),
	"load":     loadMain,
	"verify":   verifyMain,
	"ledger":   ledgerMain,
	"curl":     curlMain,
	"versions": versionsMain,
	"race":     raceMain,
	"kept":     keptMain,
	"wave":     waveMain,
	"onepool":  onepoolMain,
}

// commands are the words of the scenario language besides those of testscript.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":   fleetCmd,
	"exits":   exitsCmd,
	"instant": instantCmd,
	"listed":  listedCmd,
	"pause":   pauseCmd,
	"post":    postCmd,
	"signal":  signalCmd,
	"until":   untilCmd,
}

func TestMain(m *testing.M) { testscript.Main(m, programs) }

// waxMain is wax without the demo, which is a process of its own kind.
func waxMain(args []string, stdout, stderr io.Writer) int {
	return verbs.Main(verbs.Dependencies{Generator: verbs.Questionnaire{}}, args, stdout, stderr)
}

func exits(run func(args []string, stdout, stderr io.Writer) int) func() {
	return func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
}

// TestScen runs each scenario in a network of its own, 127.N.0.0/16, given to it as $NET.
func TestScen(t *testing.T) { testscript.Run(t, params(t, "*.txtar")) }

func params(t *testing.T, pattern string) testscript.Params {
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, pattern)
	slices.Sort(files)
	return testscript.Params{
		Files:               files,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Cmds:                commands,
		Setup: func(env *testscript.Env) error {
			running <- struct{}{}
			env.Defer(func() { <-running })
			network, err := reserveNet()
			if err != nil {
				return err
			}
			env.Setenv("NET", network)
			// Each process under the race detector sleeps for a second at its end by default.
			env.Setenv("GORACE", "atexit_sleep_ms=100")
			env.Setenv("TOKEN", "operators-token-of-the-scenarios")
			return nil
		},
	}
}
