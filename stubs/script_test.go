package stubs_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"waxwing.example/croft/stubs"
)

// awaitTimeout limits the wait of the command await.
const awaitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"stand": func() { os.Exit(stubs.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":     await,
			"post":      post,
			"terminate": terminate,
		},
	})
}

// await implements the command await URL PATTERN: it requests the URL until the body of the answer matches the pattern.
func await(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[1])
	last := ""
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get(args[0])
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if last = string(body); pattern.MatchString(last) {
			return
		}
	}
	ts.Fatalf("%s never matched %s, last: %s", args[0], args[1], last)
}

// post implements the command post URL BODY: it posts the JSON body to the URL and prints the body of the answer.
func post(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer response.Body.Close()
	_, err = io.Copy(ts.Stdout(), response.Body)
	ts.Check(err)
}

// terminate implements the command terminate: it sends SIGTERM to all programs that the script runs in the background.
func terminate(ts *testscript.TestScript, _ bool, _ []string) {
	for _, c := range ts.BackgroundCmds() {
		ts.Check(c.Process.Signal(syscall.SIGTERM))
	}
}
