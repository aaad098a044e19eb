package fakes

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

// maxRequest limits the body of a request to a fake, in bytes.
const maxRequest = 32 << 20

// routes returns the handler of the paths of package plat and of those that only a fake has: faults, history and counts.
func (p *Platform) routes() http.Handler {
	e := echo.New()
	e.GET(plat.PathRow, p.getRow)
	e.GET(plat.PathRows, p.getRows)
	e.POST(plat.PathCommit, p.postCommit)
	e.PUT(plat.PathObjects+"*", p.putObject)
	e.GET(plat.PathObjects+"*", p.getObject)
	e.GET(plat.PathVMs, p.getVMs)
	e.PUT(plat.PathVMs+"/:id", p.putVMRoute)
	e.DELETE(plat.PathVMs+"/:id", p.deleteVM)
	e.POST(plat.PathVMs+"/:id/order", p.postVMOrder)
	e.POST(plat.PathReports, p.postReports)
	e.POST(plat.PathTasks, p.postTaskOrder)
	e.GET("/faults", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Faults()) })
	e.POST("/faults", p.postFaults)
	e.GET("/history", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.History(queryParam(c, "Prefix"))) })
	e.GET("/counts", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })
	return e
}

// queryParam returns a query parameter, whose name is matched without regard to case, or empty if it is missing.
func queryParam(c *echo.Context, name string) string {
	for key, values := range c.QueryParams() {
		if strings.EqualFold(key, name) && len(values) > 0 {
			return values[0]
		}
	}
	return ""
}

// queryNumber returns a query parameter as a number, zero if it is missing.
func queryNumber(c *echo.Context, name string) (uint64, error) {
	text := queryParam(c, name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, rejected(http.StatusBadRequest, "%s: %q is not a number", name, text)
	}
	return n, nil
}

// decodeBody decodes a JSON body and rejects unknown fields.
func decodeBody(c *echo.Context, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxRequest))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return rejected(http.StatusBadRequest, "body: %v", err)
	}
	return nil
}

// writeResult responds with a result, or with an error as the platform encodes it.
func writeResult(c *echo.Context, result any, err error) error {
	if err == nil {
		return c.JSON(http.StatusOK, result)
	}
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	var refusal *plat.RejectedError
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, plat.ConflictAnswer{Rows: conflict.Rows})
	case errors.As(err, &unavailable):
		c.Response().Header().Set(plat.HeaderOutcome, plat.OutcomeNotRun)
		return writeProblem(c, http.StatusServiceUnavailable, unavailable.Reason)
	case errors.As(err, &refusal):
		return writeProblem(c, refusal.Status, refusal.Reason)
	case errors.Is(err, croft.ErrNoRow), errors.Is(err, croft.ErrNoObject):
		return writeProblem(c, http.StatusNotFound, err.Error())
	}
	// For any other error, such as a lost answer, the connection is closed without a response.
	panic(http.ErrAbortHandler)
}

func writeProblem(c *echo.Context, status int, detail string) error {
	return c.JSON(status, plat.Problem{Status: status, Title: http.StatusText(status), Detail: detail})
}

// emptyResult is the response to requests that have no result.
type emptyResult struct{}

func (p *Platform) getRow(c *echo.Context) error {
	row, err := p.Get(c.Request().Context(), queryParam(c, "Key"))
	return writeResult(c, row, err)
}

func (p *Platform) getRows(c *echo.Context) error {
	since, err := queryNumber(c, "Since")
	if err != nil {
		return writeResult(c, nil, err)
	}
	limit, err := queryNumber(c, "Limit")
	if err != nil {
		return writeResult(c, nil, err)
	}
	r := croft.Range{Prefix: queryParam(c, "Prefix"), After: queryParam(c, "After"), Since: since, Limit: int(limit)}
	rows, err := p.Scan(c.Request().Context(), r)
	return writeResult(c, plat.RowsAnswer{Rows: rows}, err)
}

func (p *Platform) postCommit(c *echo.Context) error {
	var request plat.CommitAsked
	if err := decodeBody(c, &request); err != nil {
		return writeResult(c, nil, err)
	}
	version, err := p.Commit(c.Request().Context(), request.Ops)
	return writeResult(c, plat.CommitAnswer{Version: version}, err)
}

func (p *Platform) objectName(c *echo.Context) (string, error) {
	escaped := strings.TrimPrefix(c.Request().URL.EscapedPath(), plat.PathObjects)
	name, err := url.PathUnescape(escaped)
	if err != nil || name == "" {
		return "", rejected(http.StatusBadRequest, "name: %q is not an object's", escaped)
	}
	return name, nil
}

func (p *Platform) putObject(c *echo.Context) error {
	name, err := p.objectName(c)
	if err != nil {
		return writeResult(c, nil, err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxRequest))
	if err != nil {
		return writeResult(c, nil, rejected(http.StatusBadRequest, "body: %v", err))
	}
	return writeResult(c, emptyResult{}, p.PutObject(c.Request().Context(), name, body))
}

func (p *Platform) getObject(c *echo.Context) error {
	name, err := p.objectName(c)
	if err != nil {
		return writeResult(c, nil, err)
	}
	body, err := p.GetObject(c.Request().Context(), name)
	if err != nil {
		return writeResult(c, nil, err)
	}
	return c.Blob(http.StatusOK, "application/octet-stream", body)
}

func (p *Platform) postFaults(c *echo.Context) error {
	faults := p.Faults() // fields missing from the body keep their values
	if err := decodeBody(c, &faults); err != nil {
		return writeResult(c, nil, err)
	}
	if faults.SlowMs < 0 || faults.LoseAnswers < 0 {
		err := fmt.Sprintf("SlowMs, LoseAnswers: %d, %d must not be negative", faults.SlowMs, faults.LoseAnswers)
		return writeResult(c, nil, rejected(http.StatusBadRequest, "%s", err))
	}
	p.SetFaults(faults)
	return c.JSON(http.StatusOK, faults)
}
