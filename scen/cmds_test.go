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

// signals are those that scenarios send.
var signals = map[string]syscall.Signal{
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
}

// signalCmd sends a signal to the newest background process with an argument of that name: signal STOP a1.jsonc.
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

// untilCmd runs a program until its output matches: until 10s REGEXP PROGRAM ARGUMENTS.
func untilCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: until SPAN REGEXP PROGRAM [ARGUMENT...]")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	wanted, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	end := time.Now().Add(span)
	for {
		out := new(bytes.Buffer)
		saved := ts.Exec(args[2], args[3:]...)
		out.WriteString(ts.ReadFile("stdout"))
		if saved == nil && wanted.MatchString(out.String()) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("until: %s: not seen in %s; last output:\n%s%s", args[1], span, out, ts.ReadFile("stderr"))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// postCmd posts JSON, or a file behind @, and fails where the answer is no success: post ADDRESS/PATH JSON.
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
	if refused := res.StatusCode >= http.StatusMultipleChoices; refused != neg {
		ts.Fatalf("post %s: %s: %s", args[0], res.Status, body)
	}
}

// fleetCmd writes the settings of entries and of the command line: fleet a=2 b=1 Policies.Claims="None".
//
// Entry i of the data centre at place d of the arguments is $NET.d.i, its files are a1.jsonc
// and a1.wax.jsonc.
func fleetCmd(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: fleet DATACENTRE=ENTRIES... [FIELD.FIELD=JSON...]")
	}
	net := ts.Getenv("NET")
	overrides := map[string]string{}
	type place struct {
		name, centre, ip string
	}
	var places []place
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		count, err := strconv.Atoi(value)
		if err != nil || strings.Contains(name, ".") {
			overrides[name] = value
			continue
		}
		d := int(name[0]-'a') + 1
		for i := range count {
			places = append(places, place{
				name: fmt.Sprintf("%s%d", name, i+1), centre: name, ip: fmt.Sprintf("%s.%d.%d", net, d, i+1),
			})
		}
	}
	var seeds []any
	for _, p := range places {
		seeds = append(seeds, p.ip+":7002")
	}
	for _, p := range places {
		s := map[string]any{
			"DataCentre":      p.centre,
			"Callers":         p.ip + ":7000",
			"Operators":       p.ip + ":7001",
			"Peers":           p.ip + ":7002",
			"PlatformAddress": net + ".9.1:7900",
			"SeedPeers":       seeds,
			"OperatorToken":   ts.Getenv("TOKEN"),
			"PeerKey":         "peer-key-of-the-scenarios-0123456789",
			"Faults":          map[string]any{"Allowed": true},
		}
		for path, value := range overrides {
			override(ts, s, strings.Split(path, "."), value)
		}
		write(ts, p.name+".jsonc", s)
		write(ts, p.name+".wax.jsonc", map[string]any{"Entry": p.ip + ":7001", "Token": ts.Getenv("TOKEN"), "Who": p.name})
	}
}

func override(ts *testscript.TestScript, fields map[string]any, path []string, value string) {
	if len(path) > 1 {
		inner, found := fields[path[0]].(map[string]any)
		if !found {
			inner = map[string]any{}
			fields[path[0]] = inner
		}
		override(ts, inner, path[1:], value)
		return
	}
	var parsed any
	if err := json.Unmarshal([]byte(value), &parsed); err != nil {
		ts.Fatalf("fleet: %s=%s: %v", path[0], value, err)
	}
	fields[path[0]] = parsed
}

func write(ts *testscript.TestScript, name string, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(name), body, 0o600))
}
