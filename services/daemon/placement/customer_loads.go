// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/sizelimit"
)

// customerLoadHalfLife is the half-life of the count of loads made for a customer. A longer
// half-life holds back a customer that requests many different adapters for longer, a shorter
// one lets that customer compete again sooner.
const customerLoadHalfLife = 30 * time.Second

// minCustomerLoads is the count of loads below which a customer is dropped. A single load decays to it in 20 half-lives, or 10 minutes; it
// then divides the value of a load by less than 1.000001. A higher limit frees memory sooner, a lower one is more exact.
const minCustomerLoads = 1e-6

// maxCountedCustomers is the number of customers above which those with the lowest counts are dropped. A higher limit still holds back more
// customers after their loads, a lower one uses less memory and ends a scan sooner.
const maxCountedCustomers = 16384

// customerLoads holds, by customer name, the decaying count of loads for which the customer's requests waited.
type customerLoads struct {
	byCustomer map[string]decayingCount
	limit      sizelimit.Limit
}

func newCustomerLoads() customerLoads {
	return customerLoads{byCustomer: make(map[string]decayingCount), limit: sizelimit.New(maxCountedCustomers)}
}

// decayingCount is a decaying count of loads as of updatedAt.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// current returns a customer's count at the given time.
func (c *customerLoads) current(now time.Time, customer string) float64 {
	r, ok := c.byCustomer[customer]
	if !ok {
		return 0
	}
	return r.at(now)
}

// at returns the count at the given time.
func (d decayingCount) at(now time.Time) float64 {
	dt := now.Sub(d.updatedAt).Seconds()
	return d.count * math.Exp2(-dt/customerLoadHalfLife.Seconds())
}

// add adds a share of a load to a customer's count.
func (c *customerLoads) add(now time.Time, customer string, part float64) {
	c.byCustomer[customer] = decayingCount{count: c.current(now, customer) + part, updatedAt: now}
	if c.limit.Exceeded(len(c.byCustomer)) {
		sizelimit.Reduce(&c.limit, c.byCustomer, func(_ string, d decayingCount) (float64, bool) { return d.at(now), true })
	}
}

// prune drops the customers whose counts have decayed, which limits the memory.
func (c *customerLoads) prune(now time.Time) {
	for customer, d := range c.byCustomer {
		if d.at(now) < minCustomerLoads {
			delete(c.byCustomer, customer)
		}
	}
}
