package entry

import (
	"net/http"
	"time"

	"github.com/chicorystall/chicorystall/internal/operator"
	"github.com/chicorystall/chicorystall/pkg/placement"
)

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.Status(r))
}

// Status returns the status of this instance and its data centre.
func (s *Server) Status(r *http.Request) operator.Status {
	config := s.config.Status()
	state := s.config.State()
	preset, _ := state.Preset()
	status := operator.Status{
		Instance:        s.settings.Name,
		DataCentre:      s.settings.DataCentre,
		NotReady:        s.notReadyReason(),
		ConfigOffset:    config.Offset,
		ConfigBehind:    config.Behind,
		ConfigLost:      config.Lost,
		ConfigSource:    config.Source.String(),
		PlacementOffset: s.placement.Status().Offset,
		Preset:          preset.Name,
		InHand:          s.ActiveRequests(),
		Waiting:         s.queues.Len(),
		Controller:      s.control.Held(),
		LimitsSettled:   s.book.Activated(),
	}
	for _, dc := range state.Config().DataCentres {
		status.DataCentres = append(status.DataCentres, operator.DataCentre{Name: dc.Name, Drained: s.isDrained(dc)})
	}
	s.addGroups(&status)
	if r.URL.Query().Get("Instances") == "true" {
		answered, unreachable := s.members.HelloAll(r.Context())
		for _, instance := range answered {
			status.Instances = append(status.Instances, operator.Instance{
				Name:         instance.GetName(),
				DataCentre:   instance.GetDataCentre(),
				Address:      instance.GetAddress(),
				ConfigOffset: instance.GetReport().GetConfigOffset(),
				Behind:       instance.GetReport().GetBehind(),
			})
		}
		status.Unreachable = unreachable
	}
	return status
}

// addGroups adds the groups of this data centre, with the reason if one does not
// serve.
func (s *Server) addGroups(status *operator.Status) {
	reports := s.watcher.Reports()
	state := s.placement.State()
	for _, g := range s.config.State().Config().Groups {
		if g.DataCentre != s.settings.DataCentre {
			continue
		}
		item := operator.Group{Name: g.Name, Model: g.Model, Phase: placement.PhaseNone.String()}
		if placed, ok := state.Group(g.Name); ok {
			item.Phase = placed.Phase.String()
			item.Epoch = placed.Epoch
			for _, m := range placed.Members {
				item.Members = append(item.Members, m.Name)
			}
		}
		if ticket, err := s.check.Whole(state, g.Name, reports, time.Now()); err != nil {
			item.NotWhole = err.Error()
		} else {
			item.Bears = s.book.Capacity(ticket.Members[0].Name).Requests
			item.InFlight = reports[ticket.Members[0].Name].InFlight
		}
		status.Groups = append(status.Groups, item)
	}
}
