package ops

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/setup"
)

// accept handles POST /v1/config.
func (s *server) accept(c *echo.Context) error {
	var a Acceptance
	if err := decodeBody(c, &a); err != nil {
		return err
	}
	version, err := s.backend.Accept(c.Request().Context(), a.Config, a.Reviewed, a.Who)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Accepted{Version: version})
}

// execute passes a command to the backend and responds without content.
func (s *server) execute(c *echo.Context, command croft.Command) error {
	if err := s.backend.Execute(c.Request().Context(), command); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// vmCommand returns a handler that executes a command about the VM in the path.
func (s *server) vmCommand(command func(croft.VMID) croft.Command) echo.HandlerFunc {
	return func(c *echo.Context) error {
		id, err := vmParam(c)
		if err != nil {
			return err
		}
		return s.execute(c, command(id))
	}
}

// move handles POST /v1/vms/{vm}/move.
func (s *server) move(c *echo.Context) error {
	id, err := vmParam(c)
	if err != nil {
		return err
	}
	var m Move
	if err := decodeBody(c, &m); err != nil {
		return err
	}
	if _, declared := s.backend.Config().Pool(m.To); !declared {
		return &InvalidError{Problems: []string{"body: To: no pool " + string(m.To) + " is declared"}}
	}
	return s.execute(c, croft.MoveVM{VM: id, To: m.To})
}

// vmParam returns the VM in the path, or an *InvalidError.
func vmParam(c *echo.Context) (croft.VMID, error) {
	id := c.Param("vm")
	if !setup.IsIdent(id) {
		return "", &InvalidError{Problems: []string{"path: VM: not an identifier"}}
	}
	return croft.VMID(id), nil
}

// submit handles POST /v1/jobs.
func (s *server) submit(c *echo.Context) error {
	var job NewJob
	if err := decodeBody(c, &job); err != nil {
		return err
	}
	service, declared := s.backend.Config().Service(job.Service)
	if !declared {
		return &InvalidError{Problems: []string{"body: Service: no service " + string(job.Service) + " is declared"}}
	}
	return s.execute(c, croft.SubmitJob{Job: croft.Job{
		ID:       job.ID,
		Service:  job.Service,
		Pool:     service.Pool,
		Team:     service.Team,
		Urgency:  job.Urgency,
		Declared: job.Declared,
		Status:   croft.JobWaiting,
	}})
}

// cancel handles POST /v1/jobs/cancel.
func (s *server) cancel(c *echo.Context) error {
	var cancellation Cancellation
	if err := decodeBody(c, &cancellation); err != nil {
		return err
	}
	return s.execute(c, croft.CancelJobs{IDs: cancellation.IDs})
}

// cut handles POST /v1/faults/cut.
func (s *server) cut(c *echo.Context) error {
	var cut Cut
	if err := decodeBody(c, &cut); err != nil {
		return err
	}
	if err := s.backend.Cut(cut.Prefixes); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// heal handles POST /v1/faults/heal.
func (s *server) heal(c *echo.Context) error {
	if err := s.backend.Heal(); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
