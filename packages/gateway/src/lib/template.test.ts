import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseGatewaySettings } from "./settings.js";

const template = readFileSync(new URL("../../../../deploy/settings.jsonc", import.meta.url), "utf8");

/** Values that the platform substitutes for the placeholders. */
const values: Readonly<Record<string, unknown>> = {
    node: "front-1",
    zone: "zone-a",
    ip: "10.0.0.1",
    seeds: ["10.0.0.2:8407"],
    "listen.front": "10.0.0.1:8405",
    "listen.directory": "10.0.0.1:8404",
    "listen.ready": "10.0.0.1:8406",
    "listen.control": "10.0.0.1:8407",
    "platform.address": "10.0.0.9:8408",
    "limits.link_mbps": 8.4,
    "limits.memory_mb": 250,
    "limits.max_fds": 4_100,
    "limits.cpu_share": 0.27,
    "limits.cpu_cores": 1,
    "bounds.ttl_max_s": 5,
    "bounds.grace_s": 6,
    "bounds.config_apply_ms": 2_000,
    "bounds.strict_revoke": false,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.retry_budget_burst": 62,
    "bounds.budget_window_s": 10,
    "bounds.quota_window_s": 5,
    "bounds.quota_overage": 0.1,
    "bounds.quota_slack": 20,
    "bounds.floor_share": 0.7,
};

/** Renders the template with values of some fields besides those that every deployment has. */
const render = (added: Readonly<Record<string, unknown>> = {}): string => {
    const fields = { ...values, ...added };
    return template
        .replace(
            /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs,
            (_all, field: string, section: string) => field in fields ? section : "",
        )
        .replace(
            /\{\{([\w.]+)(\|json)?\}\}/g,
            (_all, field: string, json: string | undefined) =>
                json === undefined ? String(fields[field]) : JSON.stringify(fields[field]),
        );
};

// Guards against a settings template with which no instance can start, which only a deployment would reveal.
test("the settings template is valid once its placeholders are substituted", () => {
    const settings = parseGatewaySettings(render(), "settings.jsonc");
    assert.is(settings.storeAddress, "10.0.0.9:8408");
    assert.is(settings.metricsAddress, "10.0.0.1:9464");
    assert.is(settings.admissionWaitShare, 0);
});

// Guards against a field that only some deployments have and that breaks the settings of the others, or is ignored.
test("optional fields take effect where the platform has them", () => {
    const without = parseGatewaySettings(render(), "settings.jsonc");
    assert.equal([without.warmupOverage, without.warmupSlack], [1, 0]);
    assert.is(without.zoneEvacuationMs, undefined);
    const added = { "bounds.warmup_overage": 1.5, "bounds.warmup_slack": 8, "bounds.evacuate_ms": 5_000 };
    const settings = parseGatewaySettings(render(added), "settings.jsonc");
    assert.equal([settings.warmupOverage, settings.warmupSlack], [1.5, 8]);
    assert.is(settings.zoneEvacuationMs, 5_000);
});

test.run();
