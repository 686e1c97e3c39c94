#include "burncommand.h"

#include "burnpage.h"
#include "burnreport.h"
#include "statuscommands.h"

#include "foundation/errors.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace mustardpond {

void printBurnReport(const std::vector<Endpoint> &daemons, bool json, const std::string &htmlPath)
{
    BurnByClass total;
    for (const Endpoint &daemon : daemons) {
        const nlohmann::json document = fetchFromDaemon(daemon, "/burn");
        if (document.is_null()) {
            std::cerr << toString(daemon) << " does not answer\n";
        } else {
            addDaemonBurn(total, document);
        }
    }
    std::cout << (json ? burnJson(total).dump() + "\n" : burnText(total));
    if (htmlPath.empty()) {
        return;
    }
    std::ofstream file(htmlPath);
    file << burnPage(total);
    file.close();
    if (!file) {
        throw Exception(ErrorKind::InvalidField, fmt::format(ErrorMsg::FILE_UNWRITABLE, htmlPath));
    }
}

} // namespace mustardpond
