// Bundles the instance program into target/, with a V8 code cache: without it, an instance on half a core spends most
// of its startup on compilation.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import process from "node:process";

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
    logLevel: "warning",
    mainFields: ["module", "main"],
    // Optional native modules that are not needed.
    external: ["unix-dgram", "cbor-extract"],
    alias: {
        ...Object.fromEntries(packages.map(name => [`@sniperoad/${name}`, `./packages/${name}/src/index.ts`])),
        // Instances use HTTP/1.1 only; loading HTTP/2 takes a sixth of the startup time.
        "node:http2": "./scripts/no-http2.cjs",
        http2: "./scripts/no-http2.cjs",
    },
});

// The loader compiles the bundle with the code cache. V8 rejects the cache of another Node.js release, which only costs
// time.
writeFileSync(
    "target/sniperoad.cjs",
    `
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { Script } = require("node:vm");
const bundle = __dirname + "/bundle.cjs";
const cache = __dirname + "/bundle.cache";
const source = "(function (require, module, exports, __filename, __dirname) {" + readFileSync(bundle, "utf8") + "\\n})";
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(source, { filename: bundle, cachedData });
script.runInThisContext()(require, module, exports, bundle, __dirname);
if (process.env.SNIPEROAD_WRITE_CACHE === "1") {
    writeFileSync(cache, script.createCachedData());
}
`.trimStart(),
);

// Without a settings file the program loads all its code and exits with an error, which is enough to create the cache.
try {
    execFileSync(process.execPath, ["target/sniperoad.cjs"], {
        env: { ...process.env, SNIPEROAD_WRITE_CACHE: "1", SNIPEROAD_NODE_FILE: "" },
        stdio: "ignore",
    });
}
catch {
    // The program is expected to fail, since the settings file is missing.
}
