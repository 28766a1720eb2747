//go:build review

// Package standin has the stand-ins of the review's cases: a model engine that runs requests in batches, plain callers, and a small
// deployment of the project's entry program as real processes on loopback addresses. The store is that of tests/platformstandin.
package standin
