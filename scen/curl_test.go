package scen

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// headerFlags gathers -H 'Name: value'.
type headerFlags struct{ http.Header }

// String is for the flag package.
func (h headerFlags) String() string { return "" }

// Set adds a header.
func (h headerFlags) Set(text string) error {
	name, value, found := strings.Cut(text, ":")
	if !found {
		return fmt.Errorf("%q is no header", text)
	}
	h.Add(name, strings.TrimSpace(value))
	return nil
}

// curlMain understands what the pages use of curl, which a machine that runs the tests may lack.
func curlMain() {
	headers := headerFlags{http.Header{}}
	flag.Bool("sS", true, "no progress, but errors")
	include := flag.Bool("i", false, "print the answer's headers too")
	method := flag.String("X", http.MethodGet, "method")
	data := flag.String("d", "", "body")
	flag.Var(headers, "H", "header")
	address := ""
	// Unlike the flag package, curl takes its address before or between flags.
	for args := os.Args[1:]; len(args) > 0; args = flag.Args()[min(1, flag.NArg()):] {
		exitOn(flag.CommandLine.Parse(args))
		if flag.NArg() > 0 {
			address = flag.Arg(0)
		}
	}
	request, err := http.NewRequest(*method, address, strings.NewReader(*data))
	exitOn(err)
	request.Header = headers.Header
	client := http.Client{Timeout: 30 * time.Second}
	response, err := client.Do(request)
	exitOn(err)
	defer response.Body.Close()
	if *include {
		printHead(response)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	exitOn(err)
	os.Exit(0)
}

func printHead(response *http.Response) {
	fmt.Printf("%s %s\r\n", response.Proto, response.Status)
	var names []string
	for name := range response.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("%s: %s\r\n", name, response.Header.Get(name))
	}
	fmt.Print("\r\n")
}
