package ops

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v5"
	"github.com/labstack/echo/v5/middleware"

	"waxwing.example/croft"
	"waxwing.example/croft/setup"
)

// Options are the settings of the operators' address.
type Options struct {
	Token string
	// BodyBytes is the largest body taken.
	BodyBytes int64
	// Metrics are the entry's own, in JSON as expvar wants it; nil for none.
	Metrics expvar.Var
}

// NewHandler returns the operators' address; every route asks for the token.
func NewHandler(backend Backend, options Options) http.Handler {
	s := &server{backend: backend, token: sha256.Sum256([]byte(options.Token)), metrics: options.Metrics}
	e := echo.New()
	e.HTTPErrorHandler = writeProblem
	e.Use(middleware.Recover(), s.authorize, middleware.BodyLimit(options.BodyBytes))
	e.GET("/v1/status", get(func() Status { return backend.Status() }))
	e.GET("/v1/config", get(backend.Config))
	e.GET("/v1/pools", get(func() []PoolLine { return list(backend.Pools()) }))
	e.GET("/v1/vms", get(func() []VMLine { return list(backend.VMs()) }))
	e.GET("/v1/jobs", get(func() []JobLine { return list(backend.Jobs()) }))
	e.GET("/debug/vars", s.vars)
	e.POST("/v1/config", s.accept)
	e.POST("/v1/vms/:vm/move", s.move)
	e.POST("/v1/vms/:vm/drain", s.vm(func(id croft.VMID) croft.Command { return croft.DrainVM{VM: id} }))
	e.POST("/v1/vms/:vm/resume", s.vm(func(id croft.VMID) croft.Command { return croft.DrainVM{VM: id, End: true} }))
	e.POST("/v1/vms/:vm/maintain", s.vm(func(id croft.VMID) croft.Command { return croft.MaintainVM{VM: id} }))
	e.POST("/v1/jobs", s.submit)
	e.POST("/v1/jobs/cancel", s.cancel)
	e.POST("/v1/faults/cut", s.cut)
	e.POST("/v1/faults/heal", s.heal)
	return e
}

type server struct {
	backend Backend
	token   [sha256.Size]byte
	metrics expvar.Var
}

// authorize compares hashes, so that neither the token's bytes nor its length show in the time taken.
func (s *server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		token, bearer := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		given := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(given[:], s.token[:]) != 1 || !bearer {
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return &DeniedError{}
		}
		return next(c)
	}
}

func get[T any](read func() T) echo.HandlerFunc {
	return func(c *echo.Context) error { return c.JSON(http.StatusOK, read()) }
}

// list has no lines written as an empty list rather than as null.
func list[T any](lines []T) []T {
	if lines == nil {
		return []T{}
	}
	return lines
}

// decode reads a body by the rules of its fields.
func decode(c *echo.Context, into any) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	return invalid(setup.Decode("body", body, into))
}

// invalid turns a settings error into this package's own.
func invalid(err error) error {
	var faults *setup.InvalidError
	if !errors.As(err, &faults) {
		return err
	}
	texts := make([]string, 0, len(faults.Problems))
	for _, p := range faults.Problems {
		texts = append(texts, p.String())
	}
	return &InvalidError{Problems: texts}
}
