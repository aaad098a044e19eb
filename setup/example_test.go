package setup_test

import (
	"fmt"

	"waxwing.example/croft/setup"
)

func ExampleReadEntry() {
	_, err := setup.ReadEntry("entry.json", []byte(`{
	"DataCentre": "a", // comments and a last comma are allowed
	"Callers": "localhost:7400",
	"OperatorToken": "operators-token-0001",
	"Log": {"format": "json"},
}`))
	fmt.Println(err)
	// Output:
	// entry.json:1: PeerKey: must be given
	// entry.json:3: Callers: must be an IP number and a port, such as 10.0.0.1:7400
	// entry.json:5: Log.format: unknown field, did you mean Format?
}
