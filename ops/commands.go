package ops

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/setup"
)

func (s *server) accept(c *echo.Context) error {
	var a Acceptance
	if err := decode(c, &a); err != nil {
		return err
	}
	version, err := s.backend.Accept(c.Request().Context(), a.Config, a.Reviewed, a.Who)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Accepted{Version: version})
}

func (s *server) ask(c *echo.Context, command croft.Command) error {
	if err := s.backend.Ask(c.Request().Context(), command); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *server) vm(command func(croft.VMID) croft.Command) echo.HandlerFunc {
	return func(c *echo.Context) error {
		id, err := vmOf(c)
		if err != nil {
			return err
		}
		return s.ask(c, command(id))
	}
}

func (s *server) move(c *echo.Context) error {
	id, err := vmOf(c)
	if err != nil {
		return err
	}
	var m Move
	if err := decode(c, &m); err != nil {
		return err
	}
	if _, declared := s.backend.Config().Pool(m.To); !declared {
		return &InvalidError{Problems: []string{"body: To: no pool " + string(m.To) + " is declared"}}
	}
	return s.ask(c, croft.MoveVM{VM: id, To: m.To})
}

func vmOf(c *echo.Context) (croft.VMID, error) {
	id := c.Param("vm")
	if !setup.IsIdent(id) {
		return "", &InvalidError{Problems: []string{"path: VM: not an identifier"}}
	}
	return croft.VMID(id), nil
}

func (s *server) submit(c *echo.Context) error {
	var n NewJob
	if err := decode(c, &n); err != nil {
		return err
	}
	service, declared := s.backend.Config().Service(n.Service)
	if !declared {
		return &InvalidError{Problems: []string{"body: Service: no service " + string(n.Service) + " is declared"}}
	}
	return s.ask(c, croft.SubmitJob{Job: croft.Job{
		ID:       n.ID,
		Service:  n.Service,
		Pool:     service.Pool,
		Team:     service.Team,
		Urgency:  n.Urgency,
		Declared: n.Declared,
		Status:   croft.JobWaiting,
	}})
}

func (s *server) cancel(c *echo.Context) error {
	var n Cancellation
	if err := decode(c, &n); err != nil {
		return err
	}
	return s.ask(c, croft.CancelJobs{IDs: n.IDs})
}

func (s *server) cut(c *echo.Context) error {
	var n Cut
	if err := decode(c, &n); err != nil {
		return err
	}
	if err := s.backend.Cut(n.Prefixes); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *server) heal(c *echo.Context) error {
	if err := s.backend.Heal(); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}
