// Formats the files that dprint.json names, or with `--check` lists those that are not formatted. The dprint plugin runs
// inside Node.js, since dprint's native program does not start on systems with an older C library.
import { createContext } from "@dprint/formatter";
import { globSync } from "glob";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";

const { includes, excludes, plugins, typescript, ...globalConfig } = JSON.parse(readFileSync("dprint.json", "utf8"));
const context = createContext(globalConfig);
plugins.forEach(plugin => context.addPlugin(readFileSync(plugin), typescript));

const isCheck = process.argv.includes("--check");
const files = globSync(includes, { ignore: excludes.map(pattern => `${pattern}/**`) }).sort();
const unformatted = files.filter(filePath => {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = context.formatText({ filePath, fileText });
    if (formatted === fileText) {
        return false;
    }
    if (!isCheck) {
        writeFileSync(filePath, formatted);
    }
    return true;
});
unformatted.forEach(file => console.log(`${isCheck ? "not formatted" : "formatted"}: ${file}`));
console.log(
    `${files.length} files, ${unformatted.length} ${isCheck ? "not formatted; run npm run format" : "changed"}`,
);
process.exitCode = files.length === 0 || isCheck && unformatted.length > 0 ? 1 : 0;
