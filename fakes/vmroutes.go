package fakes

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

func (p *Platform) getVMs(c *echo.Context) error {
	since, err := number(c, "Since")
	if err != nil {
		return answer(c, nil, err)
	}
	delta, err := p.ListVMs(c.Request().Context(), since)
	return answer(c, delta, err)
}

func (p *Platform) putVMRoute(c *echo.Context) error {
	var vm croft.VM
	if err := decode(c, &vm); err != nil {
		return answer(c, nil, err)
	}
	if vm.ID != croft.VMID(c.Param("id")) {
		return answer(c, nil, rejected(http.StatusBadRequest, "ID: %q is not the path's", vm.ID))
	}
	if vm.Status == "" {
		vm.Status = croft.VMLive
	}
	return answer(c, p.PutVM(vm), nil)
}

func (p *Platform) deleteVM(c *echo.Context) error {
	if !p.RemoveVM(croft.VMID(c.Param("id"))) {
		return answer(c, nil, rejected(http.StatusNotFound, "ID: %q is not in the list", c.Param("id")))
	}
	return answer(c, done{}, nil)
}

func (p *Platform) postVMOrder(c *echo.Context) error {
	var asked plat.VMOrdered
	if err := decode(c, &asked); err != nil {
		return answer(c, nil, err)
	}
	order := croft.OrderVM{VM: croft.VMID(c.Param("id")), Boot: asked.Boot, Verb: asked.Verb}
	return answer(c, done{}, p.OrderVM(c.Request().Context(), order))
}

func (p *Platform) postReports(c *echo.Context) error {
	var asked plat.ReportsAsked
	if err := decode(c, &asked); err != nil {
		return answer(c, nil, err)
	}
	reports, err := p.Reports(c.Request().Context(), asked.Since, asked.VMs)
	return answer(c, plat.ReportsAnswer{Reports: reports}, err)
}

func (p *Platform) postTaskOrder(c *echo.Context) error {
	var asked plat.TaskOrdered
	if err := decode(c, &asked); err != nil {
		return answer(c, nil, err)
	}
	order := croft.OrderTask{
		VM:         asked.VM,
		Job:        asked.Job,
		Run:        asked.Run,
		Verb:       asked.Verb,
		Lease:      asked.Lease,
		Expires:    asked.Expires,
		Size:       asked.Size,
		Checkpoint: asked.Checkpoint,
	}
	return answer(c, done{}, p.OrderTask(c.Request().Context(), order))
}
