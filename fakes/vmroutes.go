package fakes

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

func (p *Platform) getVMs(c *echo.Context) error {
	since, err := queryNumber(c, "Since")
	if err != nil {
		return writeResult(c, nil, err)
	}
	delta, err := p.ListVMs(c.Request().Context(), since)
	return writeResult(c, delta, err)
}

func (p *Platform) putVMRoute(c *echo.Context) error {
	var vm croft.VM
	if err := decodeBody(c, &vm); err != nil {
		return writeResult(c, nil, err)
	}
	if vm.ID != croft.VMID(c.Param("id")) {
		return writeResult(c, nil, rejected(http.StatusBadRequest, "ID: %q is not the path's", vm.ID))
	}
	if vm.Status == "" {
		vm.Status = croft.VMLive
	}
	return writeResult(c, p.PutVM(vm), nil)
}

func (p *Platform) deleteVM(c *echo.Context) error {
	if !p.RemoveVM(croft.VMID(c.Param("id"))) {
		return writeResult(c, nil, rejected(http.StatusNotFound, "ID: %q is not in the list", c.Param("id")))
	}
	return writeResult(c, emptyResult{}, nil)
}

func (p *Platform) postVMOrder(c *echo.Context) error {
	var request plat.VMOrdered
	if err := decodeBody(c, &request); err != nil {
		return writeResult(c, nil, err)
	}
	order := croft.OrderVM{VM: croft.VMID(c.Param("id")), Boot: request.Boot, Verb: request.Verb}
	return writeResult(c, emptyResult{}, p.OrderVM(c.Request().Context(), order))
}

func (p *Platform) postReports(c *echo.Context) error {
	var request plat.ReportsAsked
	if err := decodeBody(c, &request); err != nil {
		return writeResult(c, nil, err)
	}
	reports, err := p.Reports(c.Request().Context(), request.Since, request.VMs)
	return writeResult(c, plat.ReportsAnswer{Reports: reports}, err)
}

func (p *Platform) postTaskOrder(c *echo.Context) error {
	var request plat.TaskOrdered
	if err := decodeBody(c, &request); err != nil {
		return writeResult(c, nil, err)
	}
	order := croft.OrderTask{
		VM:         request.VM,
		Job:        request.Job,
		Run:        request.Run,
		Verb:       request.Verb,
		Lease:      request.Lease,
		Expires:    request.Expires,
		Size:       request.Size,
		Checkpoint: request.Checkpoint,
	}
	return writeResult(c, emptyResult{}, p.OrderTask(c.Request().Context(), order))
}
