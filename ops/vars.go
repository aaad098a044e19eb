package ops

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/labstack/echo/v5"
)

// VarsEntry is the name under which Vars returns the metrics of the entry itself.
const VarsEntry = "Entry"

// serveVars responds with expvar's registry and the entry's metrics. The latter are not in the registry, which is global
// to the process, since one process can run several entries.
func (s *server) serveVars(c *echo.Context) error {
	metrics := map[string]json.RawMessage{}
	expvar.Do(func(v expvar.KeyValue) { metrics[v.Key] = json.RawMessage(v.Value.String()) })
	if s.Metrics != nil {
		metrics[VarsEntry] = json.RawMessage(s.Metrics.String())
	}
	return c.JSON(http.StatusOK, metrics)
}
