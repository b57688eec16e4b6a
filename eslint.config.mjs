import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-var": "error",
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "max-lines": ["error", { max: 350, skipBlankLines: false }],
            "max-lines-per-function": ["error", { max: 80 }],
            "complexity": ["error", 15],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/consistent-type-imports": "error",
        },
    },
);
