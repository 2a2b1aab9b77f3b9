// Writes docs/PROOF.md to standard output from the matrix and the results of the tests.

#include "process/matrix.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <sstream>

int main(int argc, const char **argv)
{
    if (argc < 3) {
        fmt::print(stderr, "usage: azurehill-proof MATRIX RESULTS.xml...\n");
        return 64;
    }
    std::ifstream text(argv[1]);
    const auto matrix = azurehill::proof::readMatrix(text);
    azurehill::proof::result_table results;
    for (int i = 2; i < argc; ++i) {
        std::ifstream in(argv[i]);
        std::ostringstream whole;
        whole << in.rdbuf();
        azurehill::proof::readResults(whole.str(), results);
    }
    const auto faults = azurehill::proof::faultsOf(matrix, results);
    for (const std::string &fault : faults)
        fmt::print(stderr, "azurehill-proof: {}\n", fault);
    if (!faults.empty())
        return 1;
    fmt::print("{}", azurehill::proof::page(matrix, results));
    return 0;
}
