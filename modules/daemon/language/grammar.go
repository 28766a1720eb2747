// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package language

import (
	"fmt"
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"
)

// Script is a list of statements, separated by semicolons.
type Script struct {
	Statements []*Statement `parser:"( @@? ( ';' @@? )* )"`
}

// Statement is one command, query or explanation.
type Statement struct {
	Pos     lexer.Position
	Show    *Show    `parser:"  'show' @@"`
	Explain *Explain `parser:"| 'explain' @@"`
	Change  *Change  `parser:"| @@"`
}

// Change is a command that creates a new revision of the configuration.
type Change struct {
	DryRun     bool          `parser:"@( 'dry' 'run' )?"`
	Create     *Create       `parser:"(  'create' @@"`
	Alter      *Alter        `parser:" | 'change' @@"`
	Retire     *Retire       `parser:" | 'retire' @@"`
	Restore    *Ref          `parser:" | 'restore' 'version' @@"`
	Live       *Ref          `parser:" | 'set' 'live' @@"`
	Budget     *BudgetClause `parser:" | 'set' 'budget' @@"`
	Class      *ClassClause  `parser:" | 'set' 'class' @@"`
	ResetClass *Name         `parser:" | 'reset' 'class' @@"`
	Roll       *Roll         `parser:" | 'roll' @@"`
	Pin        *Ref          `parser:" | 'pin' @@"`
	Unpin      *Ref          `parser:" | 'unpin' @@"`
	Preload    *Ref          `parser:" | 'preload' @@"`
	Unpreload  *Ref          `parser:" | 'unpreload' @@"`
	Drain      *Drain        `parser:" | 'drain' @@"`
	Undrain    *Drain        `parser:" | 'undrain' @@"`
	Undo       *Number       `parser:" | 'undo' 'revision' @Word )"`
	IfRevision *Number       `parser:"( 'if' 'revision' @Word )?"`
}

// Create adds an adapter, version, service or rule.
type Create struct {
	Adapter *AdapterClause `parser:"  'adapter' @@"`
	Version *VersionClause `parser:"| 'version' @@"`
	Service *ServiceClause `parser:"| 'service' @@"`
	Rule    *RuleClause    `parser:"| 'rule' @@"`
}

// Alter replaces a service or rule.
type Alter struct {
	Service *ServiceClause `parser:"  'service' @@"`
	Rule    *RuleClause    `parser:"| 'rule' @@"`
}

// Retire takes an adapter, version, service or rule out of service.
type Retire struct {
	Adapter *Name `parser:"  'adapter' @@"`
	Version *Ref  `parser:"| 'version' @@"`
	Service *Name `parser:"| 'service' @@"`
	Rule    *Name `parser:"| 'rule' @@"`
}

// Name is a name, with or without quotes.
type Name struct {
	Text string `parser:"@( Word | String )"`
}

// Ref is a reference to a version, in the form adapter@version.
type Ref struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

// AdapterClause describes a new adapter.
type AdapterClause struct {
	Name    string  `parser:"@( Word | String )"`
	Base    string  `parser:"'base' @( Word | String )"`
	Version *Number `parser:"( 'version' @Word )?"`
	Source  string  `parser:"( 'source' @( Word | String ) )?"`
}

// VersionClause describes a new version.
type VersionClause struct {
	Ref    *Ref   `parser:"@@"`
	Source string `parser:"( 'source' @( Word | String ) )?"`
	Live   bool   `parser:"@'live'?"`
}

// ServiceClause describes a service by its shares.
type ServiceClause struct {
	Name   string         `parser:"@( Word | String ) 'as'"`
	Shares []*ShareClause `parser:"@@ ( ',' @@ )*"`
}

// ShareClause is the share of an adapter in a service. An adapter without a version means its live version.
type ShareClause struct {
	Pos     lexer.Position
	Adapter string  `parser:"@( Word | String )"`
	Percent *Number `parser:"( @Word '%' )?"`
}

// Roll moves a share of a service to another version, or undoes that.
type Roll struct {
	Back    *Name   `parser:"  'back' 'service' @@"`
	Service string  `parser:"| 'service' @( Word | String )"`
	To      *Ref    `parser:"  'to' @@"`
	Percent *Number `parser:"  ( 'at' @Word '%' )?"`
}

// RuleClause describes a rule.
type RuleClause struct {
	Name       string           `parser:"@( Word | String )"`
	Conditions []*RuleCondition `parser:"( 'for' @@ ( 'and' @@ )* )?"`
	Window     *Window          `parser:"@@?"`
	Actions    []*RuleAction    `parser:"@@ ( ',' @@ )*"`
}

// RuleCondition restricts a rule to requests whose field matches the pattern; a pattern may contain the wildcards * and ?.
type RuleCondition struct {
	Field   string `parser:"@( 'class' | 'caller' | 'base' | 'adapter' | 'hall' )"`
	Pattern string `parser:"@( Word | String )"`
}

// Window restricts a rule to a time of day.
type Window struct {
	From string `parser:"'between' @Time"`
	To   string `parser:"'and' @Time"`
	Zone string `parser:"( 'in' @( Word | String ) )?"`
}

// RuleAction is an action of a rule.
type RuleAction struct {
	Halls    []string `parser:"  'run' 'in' @( Word | String ) ( '+' @( Word | String ) )*"`
	Priority *Number  `parser:"| 'priority' @Word"`
	Refuse   bool     `parser:"| @'refuse'"`
}

// BudgetClause sets the load rate of the weight store.
type BudgetClause struct {
	Rate   *Decimal `parser:"@Word 'loads' 'per' 'second'"`
	AtOnce *Number  `parser:"@Word 'at' 'once'"`
}

// ClassClause sets the properties of a class.
type ClassClause struct {
	Name     string   `parser:"@( Word | String )"`
	Priority *Number  `parser:"'priority' @Word"`
	Weight   *Decimal `parser:"'weight' @Word"`
	Queue    *Number  `parser:"( 'queue' @Word )?"`
	Patient  bool     `parser:"@'patient'?"`
}

// Drain names an endpoint or a hall.
type Drain struct {
	Endpoint string `parser:"  'endpoint' @( Word | String )"`
	Hall     string `parser:"| 'hall' @( Word | String )"`
}

// Show is a query.
type Show struct {
	Count bool     `parser:"@( 'count' 'of'? )?"`
	Table string   `parser:"@Word"`
	Where *Or      `parser:"( 'where' @@ )?"`
	Group string   `parser:"( 'group' 'by' @Word )?"`
	Order []*Order `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	Limit *Number  `parser:"( 'limit' @Word )?"`
}

// Order is a column to sort by.
type Order struct {
	Column string `parser:"@Word"`
	Desc   bool   `parser:"( @'desc' | 'asc' )?"`
}

// Or is true if any of its parts is true.
type Or struct {
	Parts []*And `parser:"@@ ( 'or' @@ )*"`
}

// And is true if all of its parts are true.
type And struct {
	Parts []*Condition `parser:"@@ ( 'and' @@ )*"`
}

// Condition is a comparison, a negation, or a group in parentheses.
type Condition struct {
	Pos    lexer.Position
	Not    *Condition `parser:"  'not' @@"`
	Group  *Or        `parser:"| '(' @@ ')'"`
	Column string     `parser:"| @Word"`
	Op     string     `parser:"  @( '=' | '!=' | '<=' | '>=' | '<' | '>' | 'like' )"`
	Value  string     `parser:"  @( Word | String )"`
}

// Explain asks for the reasons of the decisions on a request, an adapter, a slot or a revision.
type Explain struct {
	Request  *Name   `parser:"  'request' @@"`
	Adapter  *Name   `parser:"| 'adapter' @@"`
	Slot     *Slot   `parser:"| 'slot' @@"`
	Revision *Number `parser:"| 'revision' @Word"`
}

// Slot names an endpoint and optionally an adapter on it.
type Slot struct {
	Endpoint string `parser:"@( Word | String )"`
	Adapter  string `parser:"@( Word | String )?"`
}

// Number is a non-negative integer.
type Number int64

// Capture implements participle.Capture.
func (n *Number) Capture(values []string) error {
	v, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || v < 0 {
		return fmt.Errorf("expected a whole number, found %q", values[0])
	}
	*n = Number(v)
	return nil
}

// Decimal is a non-negative decimal number.
type Decimal float64

// Capture implements participle.Capture.
func (n *Decimal) Capture(values []string) error {
	v, err := strconv.ParseFloat(values[0], 64)
	if err != nil || v < 0 {
		return fmt.Errorf("expected a number, found %q", values[0])
	}
	*n = Decimal(v)
	return nil
}
