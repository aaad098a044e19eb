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
	"waxwing.example/croft/platform"
	"waxwing.example/croft/stubs"
	"waxwing.example/croft/verbs"
)

// Range of the second octet of the scenarios' networks, 127.N.0.0/16. Each scenario has a network of its own.
const (
	firstNetwork = 100
	lastNetwork  = 250
)

// maxParallelScenarios limits how many scenarios run in parallel, as each starts about a dozen processes.
const maxParallelScenarios = 4

// scenarioSlots is a semaphore that holds one element for each running scenario.
var scenarioSlots = make(chan struct{}, maxParallelScenarios)

var (
	networkLocksMu sync.Mutex
	// networkLocks holds the listeners that mark networks as taken until this process ends.
	networkLocks []net.Listener
)

// reserveNetwork returns the first two octets of a loopback network that no other scenario on this machine uses. An open
// listener marks the network as taken. It is kept until this process ends, since processes of a scenario may outlive the
// scenario briefly and must not share a network with the next one.
func reserveNetwork() (network string, err error) {
	networkLocksMu.Lock()
	defer networkLocksMu.Unlock()
	for n := firstNetwork; n <= lastNetwork; n++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:7999", n))
		if err == nil {
			networkLocks = append(networkLocks, l)
			return fmt.Sprintf("127.%d", n), nil
		}
	}
	return "", errors.New("all loopback networks of scenarios are taken")
}

// programs maps the commands that scenarios start as separate processes to their main functions.
var programs = map[string]func(){
	"entry":    exitWith(daemon.Main),
	"stand":    exitWith(stubs.Main),
	"wax":      exitWith(waxMain),
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

// commands are the script commands added to those of testscript; they run within the test process.
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

// waxMain runs wax without its demo command.
func waxMain(args []string, stdout, stderr io.Writer) int {
	dependencies := verbs.Dependencies{
		Generator: verbs.Questionnaire{},
		Queues:    verbs.QueueDecoder{Config: platform.DecodeStrict, Job: platform.DecodeJob},
	}
	return verbs.Main(dependencies, args, stdout, stderr)
}

// exitWith turns a function that returns an exit code into a main function.
func exitWith(run func(args []string, stdout, stderr io.Writer) int) func() {
	return func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
}

// TestScen runs each scenario in a loopback network of its own. $NET holds the network's first two octets, such as 127.100.
func TestScen(t *testing.T) { testscript.Run(t, scriptParams(t, "*.txtar")) }

// scriptParams returns the testscript parameters for the scenario files that match a pattern.
func scriptParams(t *testing.T, pattern string) testscript.Params {
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
			scenarioSlots <- struct{}{}
			env.Defer(func() { <-scenarioSlots })
			network, err := reserveNetwork()
			if err != nil {
				return err
			}
			env.Setenv("NET", network)
			// The default of the race detector delays the exit of each process by one second.
			env.Setenv("GORACE", "atexit_sleep_ms=100")
			env.Setenv("TOKEN", "operators-token-of-the-scenarios")
			return nil
		},
	}
}
