// Bundles the instance program into target/, with a V8 code cache: without it, an instance on half a core spends most
// of its startup on compilation.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";

const program = "target/sniperoad.cjs";
const cache = "target/bundle.cache";
const warmUp = "target/warm-up.mjs";
const runTimeoutMs = 30_000;
const packages = ["core", "operator", "daemon", "gateway"];

await build({
    entryPoints: ["platform/src/lib/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: "target/bundle.cjs",
    minifyWhitespace: true,
    minifySyntax: true,
    // Licence texts with other than ASCII characters would make the loader decode the bundle as UTF-8.
    legalComments: "external",
    logLevel: "warning",
    mainFields: ["module", "main"],
    // Optional native modules that are not needed.
    external: ["unix-dgram", "cbor-extract"],
    inject: ["scripts/fetch-globals.mjs"],
    plugins: [{
        name: "unused-parts",
        // An alias would apply to the files within a package too. The operator's commands are not part of an instance.
        setup: ({ onResolve }) => {
            onResolve(
                { filter: /^undici$/ },
                ({ importer }) =>
                    importer.includes("/packages/operator/") ? undefined : { path: resolve("scripts/undici.mjs") },
            );
            onResolve(
                { filter: /^\.\/lib\/(pushgateway|defaultMetrics|cluster)$/ },
                ({ importer }) =>
                    importer.includes("/prom-client/") ? { path: resolve("scripts/unused.cjs") } : undefined,
            );
        },
    }],
    alias: {
        ...Object.fromEntries(packages.map(name => [`@sniperoad/${name}`, `./packages/${name}/src/index.ts`])),
        "node:assert": "./scripts/lazy-assert.cjs",
        // Instances use HTTP/1.1 only; loading HTTP/2 takes a sixth of the startup time.
        "node:http2": "./scripts/no-http2.cjs",
        http2: "./scripts/no-http2.cjs",
    },
});

await build({
    entryPoints: ["scripts/warm-up.mjs"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    outfile: warmUp,
    logLevel: "warning",
});

// The loader compiles the bundle with the code cache. The bundle is plain ASCII, so that reading it as Latin-1 is enough.
// V8 rejects the cache of another Node.js release or other V8 flags, which only costs time.
writeFileSync(
    program,
    `
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { Script } = require("node:vm");
const bundle = __dirname + "/bundle.cjs";
const cache = __dirname + "/bundle.cache";
const source = "(function (require, module, exports, __filename, __dirname) {" + readFileSync(bundle, "latin1") + "\\n})";
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(source, { filename: bundle, cachedData });
if (process.env.SNIPEROAD_WRITE_CACHE === "1") {
    process.on("exit", () => writeFileSync(cache, script.createCachedData()));
}
if (process.env.SNIPEROAD_CHECK_CACHE === "1") {
    process.exit(cachedData !== undefined && !script.cachedDataRejected ? 0 : 1);
}
script.runInThisContext()(require, module, exports, bundle, __dirname);
`.trimStart(),
);

// V8 accepts the cache only with the flags that it was created with, so those of the deploy file are used.
const runCommand = /^run = "node (?<flags>.*?)\s*target\/sniperoad\.cjs"$/m.exec(
    readFileSync("deploy/system.toml", "utf8"),
);
const nodeFlags = (runCommand?.groups?.flags ?? "").split(" ").filter(flag => flag !== "");
/** Runs node; returns whether it ended without an error. */
const run = (args, variables) => {
    try {
        const env = { ...process.env, ...variables };
        execFileSync(process.execPath, args, { env, stdio: "ignore", timeout: runTimeoutMs });
        return true;
    }
    catch {
        return false;
    }
};
const isCacheAccepted = () => run([...nodeFlags, program], { SNIPEROAD_CHECK_CACHE: "1" });

rmSync(cache, { force: true });
// Functions that are compiled during requests are part of the cache too.
run([warmUp, program, ...nodeFlags]);
if (!isCacheAccepted()) {
    process.stderr.write("The warm-up failed; the code cache holds only what a start uses.\n");
    // Without a settings file the program loads all its code and exits with an error.
    run([...nodeFlags, program], { SNIPEROAD_WRITE_CACHE: "1", SNIPEROAD_NODE_FILE: "" });
    if (!isCacheAccepted()) {
        process.stderr.write("V8 rejects the code cache; starts take longer.\n");
    }
}
