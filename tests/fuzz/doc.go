// Package fuzz holds the stateful fuzz test of the joint action of several nodes;
// all of it is in its test files.
package fuzz
