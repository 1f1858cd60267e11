package cli

func root() *command {
	return &command{
		summary: "marlpass states targets for a service mesh and reads what holds true.",
		detail: "Every subcommand takes -server, -token-file, -config, -timeout and -json.\n" +
			"Settings file: $HOME/" + settingsPath + ", with the keys servers, token_file, ca_file, timeout.",
		examples: []string{
			"marlpass status",
			"marlpass service set berth -description 'berths and launches'",
			"marlpass target set berth-booking -service berth -path /bookings -within 200ms",
			"marlpass handover -since 8h",
		},
		subs: []*command{
			serviceGroup(),
			targetGroup(),
			workspaceGroup(),
			historyCommand(),
			handoverCommand(),
			statusCommand(),
			commandGroup(),
			quarantineGroup(),
			explainCommand(),
		},
	}
}

func serviceGroup() *command {
	return &command{
		name:    "service",
		summary: "List, state and withdraw services.",
		examples: []string{
			"marlpass service list",
			"marlpass service set berth -description 'berths and launches'",
			"marlpass service withdraw berth -if-version 41",
		},
		subs: []*command{serviceList(), serviceSet(), serviceWithdraw()},
	}
}

func targetGroup() *command {
	return &command{
		name:    "target",
		summary: "List, state, withdraw and compare targets.",
		examples: []string{
			"marlpass target list",
			"marlpass target set berth-booking -service berth -path /bookings -within 200ms",
			"marlpass target withdraw berth-booking -note 'season ends'",
			"marlpass target diff 41 44",
		},
		subs: []*command{targetList(), targetSet(), targetWithdraw(), targetDiff()},
	}
}

func workspaceGroup() *command {
	return &command{
		name:    "workspace",
		summary: "List, state and withdraw workspaces: callers that share API keys and a quota.",
		examples: []string{
			"marlpass workspace list",
			"marlpass workspace set yard -key-file yard.keys -rate 200 -burst 50",
			"marlpass workspace withdraw yard -if-version 41",
		},
		subs: []*command{workspaceList(), workspaceSet(), workspaceWithdraw()},
	}
}

func commandGroup() *command {
	return &command{
		name:     "command",
		summary:  "Ask what became of a command.",
		examples: []string{"marlpass command show 4fd8a8f0-98a1-4f0c-a7fb-0a5fe7b1a3c2"},
		subs:     []*command{commandShow()},
	}
}
