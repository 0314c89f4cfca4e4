package main

// The kinds as the bench lists them, with figures around those of the users' days.

var faultKinds = []trouble{
	{kind: "poison", class: true, share: span{0.005, 0.3}, forS: span{5, 25}, hows: []string{"deadly"}},
	{kind: "poison", class: true, share: span{0.001, 0.01}, forS: span{10, 30}, hows: []string{"deadly"}},
	{kind: "burst", x: span{1.3, 2.2}, forS: span{2, 6}},
	{kind: "shift", share: span{0.2, 0.6}, forS: span{3, 7}},
	{kind: "retry_abuse", share: span{0.2, 0.5}, x: span{2, 4}, forS: span{3, 6}},
	{kind: "give_up", share: span{0.1, 0.4}, forS: span{3, 6}, hows: []string{"", "once"}},
	{kind: "srv_crash", share: span{0.1, 0.35}, forS: span{1.5, 6}, hows: []string{"", "dark", "gone", "domain"}},
	{kind: "srv_slow", share: span{0.1, 0.4}, x: span{2, 6}, forS: span{3, 7}, hows: []string{"", "all"}},
	{kind: "srv_slow", share: span{0.3, 0.8}, x: span{0.3, 0.8}, forS: span{5, 15}, hows: []string{"capped"}},
	{
		kind: "srv_grey", share: span{0.1, 0.3}, x: span{0.2, 0.6}, forS: span{3, 8},
		hows: []string{"errors", "shed", "busy", "hang", "reset", "mute", "shed all"},
	},
	{kind: "srv_lying_health", share: span{0.1, 0.3}, forS: span{3, 7}, hows: []string{"errors", "hang", "reset", "bad"}},
	{kind: "srv_flap", share: span{0.1, 0.35}, gapS: span{0.6, 2}, forS: span{3, 8}},
	{kind: "srv_cut", share: span{0.1, 0.3}, forS: span{2, 5}, hows: []string{"", "fronts", "some", "one_way", "reset", "reborn", "some lossy"}},
	{kind: "answer_lost", share: span{0.3, 0.8}, x: span{0.02, 0.2}, forS: span{3, 6}, hows: []string{"", "reset"}},
	{kind: "garble", share: span{0.3, 0.7}, x: span{0.02, 0.08}, forS: span{3, 6}, hows: []string{"", "extra", "extra late", "unframed", "early"}},
	{kind: "node_kill", count: 3, forS: span{1, 4}, on: "core", hows: []string{"", "power", "leader", "seed", "leader race drain", "meet drain", "reader"}},
	{kind: "herd_kill", share: span{0.4, 1}, forS: span{0.5, 2}, on: "core", hows: []string{"", "power", "off"}},
	{kind: "after_ack_kill", forS: span{2, 4}, hows: []string{"", "kill", "timed"}},
	{kind: "node_freeze", share: span{0.05, 0.3}, forS: span{1, 4}, hows: []string{"", "leader"}},
	{kind: "node_slow", share: span{0.1, 0.3}, x: span{2, 6}, forS: span{3, 6}},
	{kind: "node_cut", share: span{0.05, 0.3}, forS: span{2, 6}, hows: []string{"", "all"}},
	{kind: "core_cut", count: 3, forS: span{2, 6}, hows: []string{"", "leader", "leader race", "all", "one_way"}},
	{kind: "reset_conns", share: span{0.1, 1}, x: span{0.3, 1}},
	{kind: "clock_step", share: span{0.1, 0.5}, x: span{500, 4000}, forS: span{2, 8}, hows: []string{"", "back", "ahead"}},
	{kind: "lossy", x: span{0.01, 0.06}, forS: span{3, 6}, zone: true},
	{kind: "platform_down", forS: span{2, 8}, hows: []string{"", "silent", "busy", "reset", "busy lapse"}},
	{kind: "platform_down", share: span{0.2, 0.5}, forS: span{3, 9}, hows: []string{"nodes busy", "nodes many revoke", "nodes reset revoke race hard", "nodes silent leader"}},
	{kind: "platform_down", x: span{4, 12}, forS: span{2, 4}, hows: []string{"restored"}},
	{kind: "platform_slow", x: span{10, 80}, forS: span{3, 6}},
	{kind: "platform_lost", x: span{0.2, 0.5}, forS: span{3, 6}, hows: []string{"", "late"}},
	{kind: "platform_compact", x: span{3, 6}, forS: span{5, 12}, hows: []string{"", "drain"}},
}

var planKinds = []trouble{
	{kind: "roll_term", share: span{0.3, 1}, x: span{1, 1}, gapS: span{0.8, 2}, hows: []string{"", "busy", "leader"}},
	{kind: "roll_term", count: 2, hows: []string{"remove", "busy"}},
	{kind: "release", share: span{0.2, 0.5}, x: span{1, 2}, gapS: span{0.5, 1}},
	{kind: "replace_with_reuse", share: span{0.1, 0.35}, hows: []string{"", "drain", "dark"}},
	{kind: "scale_out", share: span{0.1, 0.3}, gapS: span{0.5, 2}},
	{kind: "scale_in", share: span{0.08, 0.2}, hows: []string{"", "spot"}},
	{kind: "add_nodes", share: span{0.4, 0.9}},
	{kind: "hup", share: span{0.2, 0.6}, gapS: span{0.5, 2}},
	{kind: "config_change", hows: []string{"route", "weights", "timeout", "idle"}},
	{kind: "config_storm", forS: span{1, 4}, gapS: span{0.08, 0.5}, hows: []string{"", "route"}},
	{kind: "big_config", count: 400},
}
