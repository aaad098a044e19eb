package scen

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"waxwing.example/croft/daemon"
	"waxwing.example/croft/stubs"
	"waxwing.example/croft/verbs"
)

// firstNet is the second octet of the loopback network of the first scenario; each has its own.
const firstNet = 20

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"entry":  exits(daemon.Main),
		"stand":  exits(stubs.Main),
		"wax":    exits(waxMain),
		"load":   loadMain,
		"verify": verifyMain,
	})
}

// waxMain is wax without the demo, which is a process of its own kind.
func waxMain(args []string, stdout, stderr io.Writer) int {
	return verbs.Main(verbs.Programs{Planner: verbs.Questionnaire{}}, args, stdout, stderr)
}

func exits(run func(args []string, stdout, stderr io.Writer) int) func() {
	return func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
}

// TestScen runs each scenario in a network of its own, 127.N.0.0/16, given to it as $NET.
func TestScen(t *testing.T) {
	files, err := filepath.Glob("*.txtar")
	assert.NilError(t, err)
	slices.Sort(files)
	testscript.Run(t, testscript.Params{
		Files:               files,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		TestWork:            flag.Lookup("test.v").Value.String() == "debug",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"signal": signalCmd,
			"until":  untilCmd,
			"post":   postCmd,
			"fleet":  fleetCmd,
			"exits":  exitsCmd,
		},
		Setup: func(env *testscript.Env) error {
			name := strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
			i := slices.Index(files, name+".txtar")
			env.Setenv("NET", fmt.Sprintf("127.%d", firstNet+i))
			env.Setenv("TOKEN", "operators-token-of-the-scenarios")
			return nil
		},
	})
}
