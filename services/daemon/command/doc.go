// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package command turns operators' commands into changes of the configuration,
// commits them and waits until they are in force in the halls.
package command
