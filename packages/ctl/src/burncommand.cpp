#include "burncommand.h"

#include "burnpage.h"
#include "burnreport.h"
#include "statuscommands.h"

#include "foundation/errors.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace mustardpond {

void printBurn(const std::vector<Endpoint> &daemons, bool json, const std::string &page)
{
    BurnByClass sum;
    for (const Endpoint &daemon : daemons) {
        const nlohmann::json document = askDaemon(daemon, "/burn");
        if (document.is_null()) {
            std::cerr << toString(daemon) << " does not answer\n";
        } else {
            addBurn(sum, document);
        }
    }
    std::cout << (json ? burnJson(sum).dump() + "\n" : burnText(sum));
    if (page.empty()) {
        return;
    }
    std::ofstream file(page);
    file << burnPage(sum);
    file.close();
    if (!file) {
        throw Exception(ErrorKind::InvalidField, fmt::format(ErrorMsg::FILE_UNWRITABLE, page));
    }
}

} // namespace mustardpond
