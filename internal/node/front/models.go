package front

import (
	"context"
	"sort"

	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
)

// ListModels handles GET /v1/models.
func (s *Server) ListModels(ctx context.Context) (oas.ListModelsRes, error) {
	x, config := exchangeFromContext(ctx), s.backend.Config()
	if config == nil {
		return nil, fault.New(fault.NotReady, "the daemon has no configuration yet").WithRetry(x.retryDelay())
	}
	if err := x.authorize(config, nil); err != nil {
		return nil, err
	}
	d := config.Deployment
	list := &oas.ModelList{Object: oas.ModelListObjectList, Data: make([]oas.Model, 0, len(d.Models)+len(d.Adapters))}
	for _, m := range d.Models {
		list.Data = append(list.Data, oas.Model{ID: m.Name, Object: oas.ModelObjectModel, OwnedBy: d.Name})
	}
	for _, a := range d.Adapters {
		list.Data = append(list.Data, oas.Model{
			ID: a.Name, Object: oas.ModelObjectModel, OwnedBy: d.Name, Parent: oas.NewOptString(a.Model),
		})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return list, nil
}
