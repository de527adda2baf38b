package api

import (
	"slices"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
)

// Model is one item of the list of models; each adapter is listed as a model.
type Model struct {
	// ID is the name of the adapter; a request may use it alone or as adapter@version.
	ID     string `json:"id"`
	Object string `json:"object"`
	// Owner is the base model.
	Owner    string   `json:"owned_by"`
	Versions []string `json:"versions"`
	// Pin is the version for requests that name none.
	Pin string `json:"pin"`
}

// Models is the response body of GET /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// models lists the adapters that the client account may use.
func (a *API) models(state *requestState) error {
	if err := a.authenticate(state, routeModels); err != nil {
		return err
	}

	return state.sendJSON(Models{Object: "list", Data: allowedModels(state.doc, state.account)})
}

func allowedModels(doc *document.Document, account string) []Model {
	models := make([]Model, 0, len(doc.Adapters))

	for name, adapter := range doc.Adapters {
		if len(adapter.Accounts) > 0 && !slices.Contains(adapter.Accounts, account) {
			continue
		}

		models = append(models, Model{
			ID:       name,
			Object:   "model",
			Owner:    adapter.Model,
			Versions: adapter.Versions,
			Pin:      adapter.Pin,
		})
	}

	slices.SortFunc(models, func(a, b Model) int { return strings.Compare(a.ID, b.ID) })

	return models
}
