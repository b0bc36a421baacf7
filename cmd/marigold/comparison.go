package main

import (
	"fmt"
	"strings"

	"github.com/marigoldshelf/marigoldshelf/decide/change"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// printComparison prints the effects of a change, a line for each service, host
// and route.
func (l *commandLine) printComparison(c change.Comparison) {
	for _, s := range c.Services {
		l.print("  service %-8s %s", s.Effect, transitionText(s.Before, s.After, serviceText))
	}
	for _, h := range c.Hosts {
		l.print("  host    %-8s %s  (%s)", h.Effect, transitionText(h.Before, h.After, hostText), join(h.Customers))
	}
	for _, r := range c.Routes {
		l.print("  route   %-8s %s  (%s)", r.Effect, routeText(r), join(r.Customers))
	}
	if len(c.RequiredApprovers) > 0 {
		l.print("Must be approved by: %s", join(c.RequiredApprovers))
	}
}

// transitionText formats an added or deleted entry, or a changed entry as
// "before -> after".
func transitionText[V any](before, after *V, text func(V) string) string {
	switch {
	case before == nil:
		return text(*after)
	case after == nil:
		return text(*before)
	default:
		return text(*before) + " -> " + text(*after)
	}
}

func serviceText(s mesh.Service) string { return string(s.Name) + " of " + string(s.Customer) }

func hostText(h mesh.Host) string {
	return fmt.Sprintf("%s in %s runs %s", h.ID, h.Zone, h.Service)
}

func ruleText(r mesh.Rule) string {
	text := fmt.Sprintf("%s: %s%s to %s, %s, %d ms, %d retries", r.ID, r.HostName, r.PathPrefix, r.Service, r.Class, r.DeadlineMillis, r.Retries)
	if r.Hedge {
		text += ", hedged"
	}
	return text
}

func routeText(r change.RouteChange) string {
	switch r.Effect {
	case change.LosesRequests:
		return ruleText(*r.Before) + ": loses requests to " + r.CauseRuleID
	case change.GainsRequests:
		return ruleText(*r.Before) + ": gets the requests of " + r.CauseRuleID
	default:
		return transitionText(r.Before, r.After, ruleText)
	}
}

func join[T ~string](list []T) string {
	words := make([]string, len(list))
	for i, word := range list {
		words[i] = string(word)
	}
	return strings.Join(words, ", ")
}
