package fakes_test

import "errors"

// asError reports whether an error is of the target's type, and sets the target.
func asError[T error](err error, target *T) bool { return errors.As(err, target) }
