package ops

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/labstack/echo/v5"
)

// VarsEntry is the name of the entry's own metrics among those of its process.
const VarsEntry = "Entry"

// vars prints expvar's registry and the entry's own metrics, which are not in the registry since one
// process may run several entries.
func (s *server) vars(c *echo.Context) error {
	all := map[string]json.RawMessage{}
	expvar.Do(func(v expvar.KeyValue) { all[v.Key] = json.RawMessage(v.Value.String()) })
	if s.metrics != nil {
		all[VarsEntry] = json.RawMessage(s.metrics.String())
	}
	return c.JSON(http.StatusOK, all)
}
