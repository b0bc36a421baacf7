package admit_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/marigoldshelf/marigoldshelf/decide/admit"
	"github.com/marigoldshelf/marigoldshelf/mesh"
)

// served simulates one backend server of payments in deployment A, with 9 slots, a
// queue of 36 and deposits of 99 ms. The accounts send Poisson streams at the given
// rates for 30 s. It returns the ratio of served requests by account, and their
// mean over all requests.
func served(fair bool, rates []float64) (ratios []float64, mean float64) {
	random := rand.New(rand.NewPCG(7, 1))
	var times admit.ServiceTimes
	for range 50 {
		times = times.ObserveDuration(mesh.Booking, 99*time.Millisecond)
	}
	limits := admit.Limits{Slots: 9, Queue: 36, PriorityOnly: true, ServiceTimes: times}
	usage := make(map[mesh.AccountName]admit.Usage)
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	sent, granted := make([]float64, len(rates)), make([]float64, len(rates))
	accounts := make(map[mesh.AccountName]int)
	var requests []admit.Request
	id := 0
	const step = 5 * time.Millisecond
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
		for arrivals := random.ExpFloat64(); arrivals < total*step.Seconds(); arrivals += random.ExpFloat64() {
			at := random.Float64() * total
			account := 0
			for account < len(rates)-1 && at >= rates[account] {
				at -= rates[account]
				account++
			}
			name := mesh.AccountName("account-" + strconv.Itoa(account))
			accounts[name] = account
			sent[account]++
			id++
			requests = append(requests, admit.Request{
				ID: strconv.Itoa(id), Account: name, Class: mesh.Booking, State: admit.Waiting,
				Arrived: now, Deadline: now.Add(1200 * time.Millisecond), Objective: now.Add(250 * time.Millisecond),
			})
		}
		active := requests[:0]
		for _, r := range requests {
			if r.State == admit.Waiting || now.Sub(r.Granted) < 99*time.Millisecond {
				active = append(active, r)
			}
		}
		requests = active
		limits.Usage = nil
		if fair {
			limits.Usage = &admit.AccountUsage{}
			for name, u := range usage {
				limits.Usage.Add(now, name, u)
			}
		}
		for _, changed := range admit.Decide(now, limits, requests) {
			usage[changed.Account] = usage[changed.Account].Observe(now, changed.State == admit.Granted)
			if changed.State == admit.Granted {
				granted[accounts[changed.Account]]++
			}
			for i := range requests {
				if requests[i].ID == changed.ID {
					requests[i] = changed
				}
			}
		}
		active = requests[:0]
		for _, r := range requests {
			if r.State != admit.Refused {
				active = append(active, r)
			}
		}
		requests = active
	}
	allSent, allGranted := 0.0, 0.0
	for i := range rates {
		ratios = append(ratios, granted[i]/max(sent[i], 1))
		allSent += sent[i]
		allGranted += granted[i]
	}
	return ratios, allGranted / allSent
}

// zipfRates returns the rates of 77 accounts (Zipf, 1.2) that sum to total.
func zipfRates(total float64) []float64 {
	rates, sum := make([]float64, 77), 0.0
	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -1.2)
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= total / sum
	}
	return rates
}

// Deployment A, payments: a burst asks for 1.8 times the capacity; 2.5 times adds
// calls. Guards against an account, of the largest in particular, that is served
// less than a quarter as often as the mean. Accounts with fewer than one request in
// two seconds send too few for a ratio each.
func TestEveryAccountIsServedWhileCapacityIsShort(t *testing.T) {
	for _, load := range []float64{1.8, 2.5} {
		rates := zipfRates(load * 91)
		ratios, mean := served(true, rates)
		t.Logf("mean %.2f, by account %.2f", mean, ratios[:12])
		for i, ratio := range ratios {
			if rates[i] >= 0.5 {
				must.Greater(t, mean/4, ratio, must.Sprint("account ", i))
			}
		}
	}
}

// Deployment A: one account sends 7.9 times its usual rate to a backend server that
// is busy otherwise. Guards against its excess at the expense of the others: they
// are served nearly as often as without it.
func TestExcessOfOneAccountIsAtItsOwnExpense(t *testing.T) {
	usual := zipfRates(0.72 * 91)
	hot := append([]float64(nil), usual...)
	hot[0] *= 7.9
	others := func(fair bool) float64 {
		ratios, _ := served(fair, hot)
		sum, weight := 0.0, 0.0
		for i := 1; i < len(ratios); i++ {
			sum += ratios[i] * hot[i]
			weight += hot[i]
		}
		return sum / weight
	}
	fair, unfair := others(true), others(false)
	t.Logf("others served: %.2f with fairness, %.2f without", fair, unfair)
	must.Greater(t, 0.9, fair)
	must.Less(t, 0.7, unfair)
}

// Guards against an order that changes where no request has an account.
func TestRequestsWithoutAccountsAreOneGroup(t *testing.T) {
	limits := admit.Limits{Slots: 1, Queue: 9, PriorityOnly: true}
	var requests []admit.Request
	for i := range 9 {
		requests = append(requests, waiting(i, mesh.Booking, time.Duration(20-i)*time.Second))
	}
	without := admit.Decide(start, limits, requests)
	limits.Usage = &admit.AccountUsage{}
	limits.Usage.Add(start, "", admit.Usage{Granted: 50, At: start})
	must.Eq(t, without, admit.Decide(start, limits, requests))
}
