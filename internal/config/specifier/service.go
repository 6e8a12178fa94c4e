package specifier

import (
	"strings"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// ServiceKind is the kind of target that serves a service.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Allowed returns all kinds of service.
func (ServiceKind) Allowed() []ServiceKind { return []ServiceKind{ServiceModel, ServicePlain} }

// Service is the configuration of one routed service.
type Service struct {
	// Kind is the kind of targets that serve the service.
	Kind ServiceKind `json:"kind"`
	// Profile names the profile that applies to the service.
	Profile identifier.Profile `json:"profile"`
	// Models lists the models of a model service, at least one; a plain service has none.
	Models []identifier.Model `json:"models,omitempty"`
	// NonRepeatable lists the path prefixes of requests that must run at most once; each begins with "/".
	NonRepeatable []string `json:"non-repeatable,omitempty"`
	// Class is the class of requests that set none.
	Class identifier.Class `json:"class"`
}

// DefaultService returns the defaults for a service.
func DefaultService() Service {
	return Service{Kind: ServiceModel, Class: identifier.ClassStandard}
}

// SetDefaults sets s to DefaultService.
func (s *Service) SetDefaults() { *s = DefaultService() }

func (v *validator) checkService(key string, s Service) {
	at := func(name string) string { return decoder.JoinKey(key, name) }
	decoder.CheckOneOf(&v.Reporter, at("kind"), s.Kind, s.Kind.Allowed())
	decoder.CheckOneOf(&v.Reporter, at("class"), s.Class, identifier.Classes())
	checkReference(v, at("profile"), s.Profile, v.fleet.Profiles, "profiles")
	checkDistinct(v, at("models"), s.Models)
	checkDistinct(v, at("non-repeatable"), s.NonRepeatable)
	for i, path := range s.NonRepeatable {
		if path != "" && !strings.HasPrefix(path, "/") {
			v.Reportf(decoder.IndexKey(at("non-repeatable"), i), "is %q, want a path that begins with /", path)
		}
	}
	v.checkServiceModels(at("models"), s)
}

func (v *validator) checkServiceModels(key string, s Service) {
	if s.Kind == ServiceModel && len(s.Models) == 0 {
		v.Reportf(key, "is empty, want at least one model for a service of kind %q", s.Kind)
	}
	if s.Kind == ServicePlain && len(s.Models) > 0 {
		v.Reportf(key, "is not empty, want no models for a service of kind %q", s.Kind)
	}
	for i, model := range s.Models {
		checkReference(v, decoder.IndexKey(key, i), model, v.fleet.Models, "models")
	}
}
