package setup

// Wax holds the settings of the operators' command line.
type Wax struct {
	Entry string `validate:"addrport" doc:"Address of an entry for operators, an IP number and a port."`
	Token string `validate:"required,min=16,max=256,token" doc:"Bearer token required on the address for operators."`
	Who   string `validate:"ident" doc:"Name of this operator, recorded with each configuration that the operator accepts."`
}

// DefaultWax returns the default settings; Token has no default.
func DefaultWax() Wax {
	return Wax{Entry: "127.0.0.1:7401", Who: "operator"}
}

// ReadWax returns the checked settings of the command line, or an *InvalidError that lists every fault with file, line and field.
func ReadWax(name string, body []byte) (Wax, error) {
	w := DefaultWax()
	err := Decode(name, body, &w)
	return w, err
}
