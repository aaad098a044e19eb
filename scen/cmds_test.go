package scen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// signals are the signals that scenarios can send, by name.
var signals = map[string]syscall.Signal{
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
}

// signalCmd sends a signal to the most recently started background process that has the given argument:
// signal STOP a1.jsonc.
func signalCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal STOP|CONT|TERM|KILL ARGUMENT")
	}
	sig, found := signals[args[0]]
	if !found {
		ts.Fatalf("signal: no such signal: %s", args[0])
	}
	cmds := ts.BackgroundCmds()
	for _, c := range slices.Backward(cmds) {
		if slices.Contains(c.Args[1:], args[1]) {
			ts.Check(c.Process.Signal(sig))
			return
		}
	}
	ts.Fatalf("signal: no background process with argument %s", args[1])
}

// untilCmd runs a program repeatedly until it succeeds with a matching output: until 10s REGEXP PROGRAM ARGUMENTS.
func untilCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: until TIMEOUT REGEXP PROGRAM [ARGUMENT...]")
	}
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	expected, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	deadline := time.Now().Add(timeout)
	for {
		out := new(bytes.Buffer)
		execErr := ts.Exec(args[2], args[3:]...)
		out.WriteString(ts.ReadFile("stdout"))
		if execErr == nil && expected.MatchString(out.String()) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("until: no output matched %s within %s; last output:\n%s%s", args[1], timeout, out, ts.ReadFile("stderr"))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// postCmd posts JSON, or the content of a file given as @FILE, and fails unless the response status is a success,
// or with ! unless it is an error: post ADDRESS/PATH JSON.
func postCmd(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: post ADDRESS/PATH JSON")
	}
	content := args[1]
	if name, isFile := strings.CutPrefix(content, "@"); isFile {
		content = ts.ReadFile(name)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+args[0], strings.NewReader(content))
	ts.Check(err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+ts.Getenv("TOKEN"))
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Do(req)
	ts.Check(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	ts.Check(err)
	if failed := res.StatusCode >= http.StatusMultipleChoices; failed != neg {
		ts.Fatalf("post %s: %s: %s", args[0], res.Status, body)
	}
}

// fleetCmd writes the settings files of entries and of wax: fleet a=2 b=1 Policies.Claims="None".
//
// Data centres are named by one letter. Entry 2 of data centre b has the address $NET.2.2, its settings are in b2.jsonc,
// and b2.wax.jsonc holds the settings with which wax calls it. FIELD.FIELD=JSON sets a field in all entries' settings.
func fleetCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: fleet DATACENTRE=ENTRIES... [FIELD.FIELD=JSON...]")
	}
	network := ts.Getenv("NET")
	overrides := map[string]string{}
	type entry struct {
		name, centre, ip string
	}
	var entries []entry
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		count, err := strconv.Atoi(value)
		if err != nil || strings.Contains(name, ".") {
			overrides[name] = value
			continue
		}
		octet := int(name[0]-'a') + 1
		for i := range count {
			entries = append(entries, entry{
				name: fmt.Sprintf("%s%d", name, i+1), centre: name, ip: fmt.Sprintf("%s.%d.%d", network, octet, i+1),
			})
		}
	}
	var seeds []any
	for _, e := range entries {
		seeds = append(seeds, e.ip+":7002")
	}
	for _, e := range entries {
		settings := map[string]any{
			"DataCentre":      e.centre,
			"Callers":         e.ip + ":7000",
			"Operators":       e.ip + ":7001",
			"Peers":           e.ip + ":7002",
			"PlatformAddress": network + ".9.1:7900",
			"SeedPeers":       seeds,
			"OperatorToken":   ts.Getenv("TOKEN"),
			"PeerKey":         "peer-key-of-the-scenarios-0123456789",
			"Faults":          map[string]any{"Allowed": true},
		}
		for path, value := range overrides {
			setField(ts, settings, strings.Split(path, "."), value)
		}
		writeJSON(ts, e.name+".jsonc", settings)
		writeJSON(ts, e.name+".wax.jsonc", map[string]any{"Entry": e.ip + ":7001", "Token": ts.Getenv("TOKEN"), "Who": e.name})
	}
}

// setField sets the field at a path of names to a JSON value and creates missing objects on the way.
func setField(ts *testscript.TestScript, fields map[string]any, path []string, value string) {
	if len(path) > 1 {
		nested, found := fields[path[0]].(map[string]any)
		if !found {
			nested = map[string]any{}
			fields[path[0]] = nested
		}
		setField(ts, nested, path[1:], value)
		return
	}
	var parsed any
	if err := json.Unmarshal([]byte(value), &parsed); err != nil {
		ts.Fatalf("fleet: %s=%s: %v", path[0], value, err)
	}
	fields[path[0]] = parsed
}

func writeJSON(ts *testscript.TestScript, name string, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(name), body, 0o600))
}
