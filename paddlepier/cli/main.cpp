// Entry point of the `paddlepier` program.

#include "paddlepier/cli/commands.h"

int main(int count, char **words)
{
    return static_cast<int>(paddlepier::cli::runCommand({words, words + count}));
}
