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

// headerFlags collects the headers given by -H 'Name: value'.
type headerFlags struct{ http.Header }

// String returns an empty default, as flag.Value requires.
func (h headerFlags) String() string { return "" }

// Set parses and adds one header.
func (h headerFlags) Set(text string) error {
	name, value, found := strings.Cut(text, ":")
	if !found {
		return fmt.Errorf("header %q has no colon", text)
	}
	h.Add(name, strings.TrimSpace(value))
	return nil
}

// curlMain implements the options of curl that the documentation uses, since curl may not be installed.
func curlMain() {
	headers := headerFlags{http.Header{}}
	flag.Bool("sS", true, "hide progress, show errors")
	include := flag.Bool("i", false, "print the response headers too")
	method := flag.String("X", http.MethodGet, "method")
	data := flag.String("d", "", "body")
	flag.Var(headers, "H", "header")
	address := ""
	// curl accepts its address before, between or after flags, while the flag package stops at the first argument.
	for args := os.Args[1:]; len(args) > 0; args = flag.Args()[min(1, flag.NArg()):] {
		exitOnError(flag.CommandLine.Parse(args))
		if flag.NArg() > 0 {
			address = flag.Arg(0)
		}
	}
	request, err := http.NewRequest(*method, address, strings.NewReader(*data))
	exitOnError(err)
	request.Header = headers.Header
	client := http.Client{Timeout: 30 * time.Second}
	response, err := client.Do(request)
	exitOnError(err)
	defer response.Body.Close()
	if *include {
		printHead(response)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	exitOnError(err)
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
